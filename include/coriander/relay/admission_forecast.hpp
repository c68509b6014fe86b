#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <optional>

namespace coriander {

/// What a request is worth waiting for, and what it meets.
struct admission_input {
    std::optional<target_choice> best; ///< The chosen target; absent: none may take the request.
    time_ms usual_duration{};          ///< From dispatch to the end of an answer of this kind.
    time_ms objective{};               ///< For the first event, or the whole answer.
    time_ms time_left{};               ///< Until the caller or the route gives up.
    double refused_share = 0.0;        ///< Of the requests of the last seconds.
    double supply = 1.0;               ///< Capacity of all targets, as a multiple of the fleet's demand.
    double draw = 0.0;                 ///< Uniform in [0, 1).
};

/// Whether a request is sent now, and if not, when its caller should come back.
struct admission_decision {
    bool is_admitted = false;
    time_ms predicted_wait{}; ///< In the target's queue.
    time_ms retry_after{};    ///< Meaningful for a refusal.
};

/// Bounds of the forecast.
struct admission_settings {
    /// The wait may take this part of the objective: beyond it the answer would be late, and would make
    /// those behind it late as well.
    double wait_share = 0.3;
    /// When no target can take a request: the usual time until a lost replica is formed anew.
    time_ms outage_retry{800};
    time_ms least_retry{100};
    /// Less time than this is not enough for a round trip and the shortest answers: what is sent then ends
    /// with a time-out, of which nobody can tell whether it has run.
    time_ms least_time{20};
    /// Callers that come back into the same shortage only add to it. A shortage passes when a lost replica is
    /// formed anew, which takes about this long; the more are refused, the longer callers are sent away.
    time_ms shortage_retry{2000};
    /// From this part of the target's slots on, the part of the demand that exceeds the supply is refused:
    /// reports of load come too late to keep the targets' queues short by themselves.
    double busy_share = 0.5;
};

/// Forecasts the wait in the chosen target's queue and refuses what would come too late, and, at random, what
/// exceeds the supply. Pure.
[[nodiscard]] inline admission_decision forecast_admission(const admission_input& input,
                                                         const admission_settings& settings = {})
{
    if (!input.best) {
        return {false, {}, settings.outage_retry};
    }
    const double slots = std::max(1U, input.best->target.slots);
    const double ahead = std::max(0.0, input.best->total() + 1.0 - slots);
    const double turn_ms = static_cast<double>(input.usual_duration.count()) / slots;
    const time_ms wait{static_cast<std::int64_t>(ahead * turn_ms)};
    const time_ms bound{
        static_cast<std::int64_t>(settings.wait_share * static_cast<double>(input.objective.count()))};
    const bool is_excess = input.best->total() >= settings.busy_share * slots && input.draw >= input.supply;
    if (!is_excess && wait <= bound && wait + settings.least_time <= input.time_left) {
        return {true, wait, {}};
    }
    const time_ms shortage{static_cast<std::int64_t>(input.refused_share *
                                                     static_cast<double>(settings.shortage_retry.count()))};
    return {false, wait, std::max(settings.least_retry, wait - bound) + shortage};
}

} // namespace coriander
