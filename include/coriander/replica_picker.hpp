#pragma once

#include "coriander/load_sample.hpp"
#include "coriander/random_source.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// A target as the router sees it at the moment of choice.
struct route_candidate {
    std::string id;
    std::uint32_t own_in_flight = 0;     ///< Sent by this router and not ended.
    std::uint32_t own_when_sampled = 0;  ///< `own_in_flight` when `load` was seen.
    std::uint32_t concurrency_limit = 1; ///< What this router allows itself on the target.
    std::uint32_t capacity = 1;          ///< What the target runs at once.
    load_sample load;
    double slowness = 1.0;  ///< Latency relative to the median of the service's targets; 1 is ordinary.
    bool suspended = false; ///< Ejected, on probation for others, or already tried for this request.
};

/// Why a target was chosen, for the decision's log line.
enum class route_reason {
    only_one,        ///< No other candidate was eligible.
    less_loaded,     ///< The better of two drawn at random.
    prefix_affinity, ///< Holds the prompt's prefix and is not overloaded.
};

/// The chosen candidate's index in the span, with the reason.
struct route_choice {
    std::size_t index = 0;
    route_reason reason = route_reason::only_one;
    double score = 0.0;
};

/// The name that logs and `corianderctl explain` show.
[[nodiscard]] const char* name_of(route_reason reason) noexcept;

/// The expected load of a target in units of its capacity, times its slowness.
///
/// The report lags, so that it is corrected by what this router did since; the part of the report that comes
/// from other routers fades with the report's age, towards this router's own count.
[[nodiscard]] double expected_load(const route_candidate& candidate, time_ms now) noexcept;

/// Whether the target may be given one more request.
[[nodiscard]] inline bool has_room(const route_candidate& candidate) noexcept
{
    return !candidate.suspended && candidate.own_in_flight < candidate.concurrency_limit;
}

/// Chooses a target: the preferred one if its load stays within `affinity_bound` of the least loaded drawn;
/// otherwise the better of two drawn at random. Nothing when no target has room.
template <random_source Random>
[[nodiscard]] std::optional<route_choice> pick_replica(std::span<const route_candidate> candidates,
                                                       time_ms now, Random& random,
                                                       std::optional<std::size_t> preferred = std::nullopt)
{
    constexpr double affinity_bound = 0.25; // In units of the target's capacity.
    std::vector<std::size_t> eligible;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (has_room(candidates[i])) {
            eligible.push_back(i);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const auto score_of = [&](std::size_t index) { return expected_load(candidates[index], now); };
    if (eligible.size() == 1) {
        return route_choice{eligible.front(), route_reason::only_one, score_of(eligible.front())};
    }
    const auto first_place = draw_index(random, eligible.size());
    const auto second_place = (first_place + 1 + draw_index(random, eligible.size() - 1)) % eligible.size();
    const auto first = eligible[first_place];
    const auto second = eligible[second_place];
    const auto better = score_of(second) < score_of(first) ? second : first;
    const bool is_affine = preferred &&
                           std::find(eligible.begin(), eligible.end(), *preferred) != eligible.end() &&
                           score_of(*preferred) <= score_of(better) + affinity_bound;
    if (is_affine) {
        return route_choice{*preferred, route_reason::prefix_affinity, score_of(*preferred)};
    }
    return route_choice{better, route_reason::less_loaded, score_of(better)};
}

} // namespace coriander
