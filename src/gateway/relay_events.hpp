#pragma once

#include "coriander/relay/admission_forecast.hpp"
#include "coriander/relay/attempt_decision.hpp"
#include "coriander/relay/crash_quarantine.hpp"
#include "coriander/relay/target_pool.hpp"
#include "gateway/manifest_doubt.hpp"
#include "gateway/relay_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coriander {

/// How an attempt ended, for its log line.
struct attempt_report {
    const relay_target& target;
    attempt_end end;
    const char* reason;
    int status;
    bool was_reused; ///< The attempt used a pooled connection.
    time_ms after;
    time_ms writing; ///< Since the target's first byte; zero if there was none.
    std::size_t events;
    std::string_view prompt_parts;
    next_step next;
};

/// How a request ended, for its log line.
struct request_report {
    const char* outcome;
    int status;
    const std::string& target;
    unsigned attempts;
    std::size_t events;
    time_ms first_event;
    time_ms longest_gap; ///< Between events.
    time_ms took;
    std::string_view prompt_parts;
    double expected_load;                ///< Of the last target, at the time it was chosen.
    std::optional<double> reported_load; ///< By that target, in its response.
};

/// Why a request was refused, for its log line.
struct refusal_report {
    time_ms predicted_wait; ///< In the selected target's queue.
    time_ms retry_after;
    std::size_t targets; ///< That take requests now.
    double supply;       ///< Capacity of the targets as a multiple of the demand.
};

/// Write one log line for each decision on a request. Thread-safe.
void log_refusal(const relay_request& request, local_reply reply, const std::optional<target_choice>& best,
                 const refusal_report& report);
/// Logs that a request is not called wrong, since the manifest that says so may be outdated.
void log_doubt(const relay_request& request, local_reply problem, std::uint64_t version,
               manifest_doubt_cause cause, time_ms age);
void log_quarantined(const relay_request& request, unsigned attempts_sent, time_ms retry_after);
void log_permit(const relay_request& request, const target_choice& choice, permit_decision decision);
/// Logs that requests had a mark that no gateway made for them: `count` of them up to the one named.
void log_rejected_marks(std::string_view request, std::size_t count);
/// Logs that a request is not sent to the selected target, which may not get it any more.
void log_redirect(const relay_request& request, const target_choice& choice);
void log_choice(const relay_request& request, const target_choice& choice, unsigned attempt,
                std::optional<std::uint64_t> after_event);
void log_request_kept(const relay_request& request, const relay_target& target, const char* why);
void log_attempt_end(const relay_request& request, const attempt_report& report);
void log_request_end(const relay_request& request, const request_report& report);

/// Logs that a host crashed, with the requests that may have caused it, `after` its connections closed.
void log_crash(const std::string& host, std::uint64_t incarnation, std::span<const crash_suspect> suspects,
               time_ms after);
/// Logs what is quarantined now, after a change.
void log_quarantine(std::span<const quarantine_entry> entries, time_ms now);

} // namespace coriander
