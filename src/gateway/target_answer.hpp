#pragma once

#include "coriander/relay/attempt_decision.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/relay_dialect.hpp"
#include "net/message_head.hpp"

#include <cstdint>
#include <optional>
#include <string>
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

/// What all responses that make up one event stream have in common.
struct stream_form {
    int status = 0;
    std::string media_type; ///< In lower case, without parameters.

    friend bool operator==(const stream_form&, const stream_form&) = default;
};

[[nodiscard]] stream_form form_of(const message_head& head);

/// What the response to an attempt has to match.
struct expected_response {
    std::string_view attempt_id;
    std::optional<stream_form> continued; ///< The stream that the response has to continue, if any.
    repetition kind = repetition::non_idempotent;
    bool is_first_on_connection = false; ///< Nothing was asked on the connection before.
};

/// Whether a response with this echoed id, possibly empty, is certain to answer the expected attempt. On a
/// connection that has carried other requests, a response without an id may be a repetition of an earlier
/// one; a request that must not run twice relies on no response there.
[[nodiscard]] bool answers_attempt(std::string_view echoed_id, const expected_response& expected);

/// The outcome of the attempt if the response head rules out success: `lost` if the response does not belong
/// to the attempt, `declined` if the target did not run the request, `failed` if it did and returned an
/// error. Empty otherwise. With `expected.continued`, every response that doesn't continue the stream rules
/// out success, as nothing else can be forwarded once a stream has begun.
[[nodiscard]] std::optional<attempt_end>
classify_response(const message_head& head, const relay_dialect& dialect, const expected_response& expected);

/// The same for the response of another gateway to a request that was passed on to it: `not_sent` if it has
/// not tried to send the request to a target, so that this may be tried elsewhere. A target's error or a
/// refusal by that gateway is final and not ruled out, except in a stream that has begun.
[[nodiscard]] std::optional<attempt_end> classify_relayed_response(const message_head& head,
                                                                   const relay_dialect& dialect,
                                                                   const expected_response& expected);

/// The headers of a target's response that are forwarded to the caller.
[[nodiscard]] std::vector<http_header> forwarded_response_headers(const message_head& head);

} // namespace coriander
