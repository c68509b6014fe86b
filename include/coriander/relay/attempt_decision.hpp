#pragma once

#include "coriander/relay/relay_manifest.hpp"

namespace coriander {

/// How an attempt without a complete response ended.
enum class attempt_end {
    not_sent,  ///< No byte left this host.
    declined,  ///< The target reported that it did not run the request.
    failed,    ///< The target ran the request and returned an error.
    lost,      ///< Sent, but no complete response arrived; the request may have run.
    timed_out, ///< The request timed out meanwhile.
};

/// State of a request after an attempt has ended.
struct attempt_state {
    attempt_end end = attempt_end::lost;
    repetition kind = repetition::non_idempotent;
    unsigned attempts_sent = 0; ///< Attempts of which at least one byte left this host.
    unsigned max_attempts = 1;
    bool may_have_run = false;     ///< In this attempt or an earlier one.
    bool response_started = false; ///< The caller has received the response head.
    bool is_retry_allowed = false; ///< The retry budget and the remaining time allow another attempt.
};

/// How a request continues after a failed attempt.
enum class next_step {
    try_again,       ///< Send it to another target from the beginning.
    resume,          ///< Continue on another target after the last event.
    refuse,          ///< Tell the caller that it has not run and when to retry.
    pass_failure,    ///< Forward the target's error to the caller.
    report_unknown,  ///< Tell the caller that it may have run.
    report_time_out, ///< Tell the caller that it timed out and may have run.
    go_back,         ///< Continue with the attempt that the request left for this one.
    break_off,       ///< Abort the started response so that the caller detects that it is incomplete.
};

/// Decides how a request continues after an attempt without a complete response.
[[nodiscard]] next_step decide_next(const attempt_state& state);

/// The name used in log lines.
[[nodiscard]] const char* name_of(attempt_end end) noexcept;
[[nodiscard]] const char* name_of(next_step step) noexcept;

} // namespace coriander
