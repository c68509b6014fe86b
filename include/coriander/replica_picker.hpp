#pragma once

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
    std::uint32_t concurrency_limit = 1; ///< What this router allows itself on the target.
    std::uint32_t capacity = 1;          ///< What the target runs at once.
    double others_in_flight = 0.0;       ///< Of other routers, on average.
    double relative_latency =
        1.0;                ///< Latency relative to the median of the service's targets; 1 is ordinary.
    bool suspended = false; ///< Ejected, on probation for others, or already tried for this request.
};

/// Why a target was chosen, for the decision's log line.
enum class route_reason {
    only_one,        ///< No other candidate was eligible.
    less_loaded,     ///< The least loaded one with room.
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

/// The expected load of a target with one more request, in units of its capacity, times its relative_latency.
[[nodiscard]] double expected_load(const route_candidate& candidate) noexcept;

/// Whether the target may be given one more request.
[[nodiscard]] inline bool has_room(const route_candidate& candidate) noexcept
{
    return !candidate.suspended && candidate.own_in_flight < candidate.concurrency_limit;
}

/// Chooses a target: the preferred one if its load stays within `affinity_bound` of the least loaded;
/// otherwise the least loaded, at random among equals. Nothing when no target has room.
///
/// A router's own counts are exact and differ from router to router, so that looking at all targets does not
/// send all routers to the same one; two drawn at random did worse (docs/DESIGN.md).
template <random_source Random>
[[nodiscard]] std::optional<route_choice> pick_replica(std::span<const route_candidate> candidates,
                                                       Random& random,
                                                       std::optional<std::size_t> preferred = std::nullopt)
{
    constexpr double affinity_bound = 0.25; // In units of the target's capacity.
    std::optional<route_choice> best;
    std::size_t eligible = 0;
    const std::size_t offset = candidates.empty() ? 0 : draw_index(random, candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto index = (offset + i) % candidates.size();
        if (!has_room(candidates[index])) {
            continue;
        }
        ++eligible;
        const double score = expected_load(candidates[index]);
        if (!best || score < best->score) {
            best = route_choice{index, route_reason::less_loaded, score};
        }
    }
    if (!best) {
        return std::nullopt;
    }
    if (preferred && has_room(candidates[*preferred])) {
        const double score = expected_load(candidates[*preferred]);
        if (score <= best->score + affinity_bound) {
            return route_choice{*preferred, route_reason::prefix_affinity, score};
        }
    }
    if (eligible == 1) {
        best->reason = route_reason::only_one;
    }
    return best;
}

} // namespace coriander
