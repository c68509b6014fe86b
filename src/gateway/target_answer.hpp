#pragma once

#include "coriander/relay/attempt_decision.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/relay_dialect.hpp"
#include "net/message_head.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriander {

/// The load that a target reports in a response, in requests.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Parses `running,waiting,slots`; empty if the text has another form.
[[nodiscard]] std::optional<reported_load> parse_load(std::string_view text);

/// Parses a rate limit in requests per second; empty if the text is not a positive number.
[[nodiscard]] std::optional<double> parse_rate_limit(std::string_view text);

/// Parses a number of seconds, whole or with a fraction; empty if the text is none, such as a date.
[[nodiscard]] std::optional<time_ms> parse_retry_after(std::string_view text);

/// The outcome of the attempt with this id if the response head rules out success: `lost` if the response
/// does not belong to the attempt, `declined` if the target did not run the request, `failed` if it did and
/// returned an error. Empty otherwise.
[[nodiscard]] std::optional<attempt_end>
classify_response(const message_head& head, const relay_dialect& dialect, std::string_view attempt_id);

/// The headers of a target's response that are forwarded to the caller.
[[nodiscard]] std::vector<http_header> forwarded_response_headers(const message_head& head);

} // namespace coriander
