#pragma once

#include "coriander/relay/attempt_decision.hpp"
#include "gateway/relay_dialect.hpp"
#include "net/wire_message.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriander {

/// The load that a target tells in an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Reads `running,waiting,slots`; nothing when the text is something else.
[[nodiscard]] std::optional<reported_load> parse_load(std::string_view text);

/// What an answer's head tells of the attempt with this id, when that is not success: not the attempt's own
/// answer, not run, or run and failed.
[[nodiscard]] std::optional<attempt_end>
classify_response(const wire_head& head, const relay_dialect& dialect, std::string_view attempt_id);

/// The headers of a target's answer that its caller receives.
[[nodiscard]] std::vector<http_header> forwarded_response_headers(const wire_head& head);

} // namespace coriander
