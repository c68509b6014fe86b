#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <optional>

namespace coriander {

/// Inputs of the admission decision for one request.
struct admission_input {
    std::optional<target_choice> best; ///< The selected target; empty if none may take the request.
    time_ms typical_duration{};        ///< From dispatch to the end of the response, for similar requests.
    time_ms objective{};        ///< Latency objective for the first event, or for the complete response.
    time_ms time_left{};        ///< Until the caller's or the route's timeout.
    double refused_share = 0.0; ///< Fraction of the requests of the last seconds that were refused.
    double supply = 1.0;        ///< Capacity of all targets as a multiple of the fleet's demand.
    double draw = 0.0;          ///< Random number, uniform in [0, 1).
};

/// Whether a request is sent now, and if not, when its caller should retry.
struct admission_decision {
    bool is_admitted = false;
    time_ms predicted_wait{}; ///< Predicted time in the target's queue.
    time_ms retry_after{};    ///< Only meaningful if the request is refused.
};

/// Limits of the admission forecast.
struct admission_settings {
    /// Maximum wait as a fraction of the objective. With a longer wait the response would be late, and so
    /// would those queued behind it.
    double wait_share = 0.3;
    /// Retry-after time when no target can take a request: the typical time until a lost replica is replaced.
    time_ms outage_retry{800};
    time_ms min_retry_after{100};
    /// With less time left than this, not even a round trip with the shortest response fits. The request
    /// would time out, and it would be unknown whether it has run.
    time_ms min_time_left{20};
    /// Callers that retry during a shortage only add to it. A shortage lasts until a lost replica
    /// is replaced, which takes about this long; the retry-after time grows with the fraction of refused
    /// requests.
    time_ms shortage_retry{2000};
    /// If at least this fraction of the target's slots is in use, the part of the demand that exceeds the
    /// supply is refused: load reports arrive too late to keep the targets' queues short by themselves.
    double busy_share = 0.5;
};

/// When the caller of a refused request should retry: once `excess_wait` has passed, and later the more
/// requests are refused.
[[nodiscard]] inline time_ms retry_after_refusal(time_ms excess_wait, double refused_share,
                                                 const admission_settings& settings = {})
{
    const time_ms shortage_delay{
        static_cast<std::int64_t>(refused_share * static_cast<double>(settings.shortage_retry.count()))};
    return std::max(settings.min_retry_after, excess_wait) + shortage_delay;
}

/// Predicts the wait in the selected target's queue. Refuses requests that would be late and, at random, the
/// part of the demand that exceeds the supply. Has no side effects.
[[nodiscard]] inline admission_decision forecast_admission(const admission_input& input,
                                                           const admission_settings& settings = {})
{
    if (!input.best) {
        return {false, {}, settings.outage_retry};
    }
    const double slots = std::max(1U, input.best->target.slots);
    const double queued_ahead = std::max(0.0, input.best->total() + 1.0 - slots);
    const double ms_per_request = static_cast<double>(input.typical_duration.count()) / slots;
    const time_ms wait{static_cast<std::int64_t>(queued_ahead * ms_per_request)};
    const time_ms max_wait{
        static_cast<std::int64_t>(settings.wait_share * static_cast<double>(input.objective.count()))};
    const bool is_excess = input.best->total() >= settings.busy_share * slots && input.draw >= input.supply;
    if (!is_excess && wait <= max_wait && wait + settings.min_time_left <= input.time_left) {
        return {true, wait, {}};
    }
    return {false, wait, retry_after_refusal(wait - max_wait, input.refused_share, settings)};
}

} // namespace coriander
