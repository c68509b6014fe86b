#pragma once

#include "coriander/relay/relay_manifest.hpp"

namespace coriander {

/// How an attempt ended that brought no whole answer.
enum class attempt_end {
    not_sent,  ///< No byte left this host.
    declined,  ///< The target stated that it did not run the request.
    failed,    ///< The target ran the request and answered with an error.
    lost,      ///< Sent, and no whole answer came: it may have run.
    timed_out, ///< The request's time limit passed meanwhile.
};

/// What is known of a request when an attempt has ended.
struct attempt_state {
    attempt_end end = attempt_end::lost;
    repetition kind = repetition::non_idempotent;
    unsigned attempts_sent = 0; ///< Attempts of which a byte left this host.
    unsigned max_attempts = 1;
    bool may_have_run = false;     ///< By this attempt or an earlier one.
    bool response_started = false; ///< The caller has received the answer's head.
    bool is_retry_allowed = false;     ///< The retry budget and the time left allow one more attempt.
};

/// What happens next to the request.
enum class next_step {
    try_again,       ///< Send it to another target, from the start.
    resume,          ///< Go on at another target after the last event.
    refuse,          ///< Tell the caller that it has not run and when to come back.
    pass_failure,    ///< Give the caller the target's own error.
    report_unknown,  ///< Tell the caller that it may have run.
    report_time_out, ///< Tell the caller that the time limit passed; it may have run.
    break_off,       ///< End the begun answer so that the caller sees that it is not whole.
};

/// Decides how a request goes on after an attempt that brought no whole answer.
[[nodiscard]] next_step decide_next(const attempt_state& state);

/// The name in log lines.
[[nodiscard]] const char* name_of(attempt_end end) noexcept;
[[nodiscard]] const char* name_of(next_step step) noexcept;

} // namespace coriander
