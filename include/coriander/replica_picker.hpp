#pragma once

#include "coriander/random_source.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// State of a target as known to the router when it selects one.
struct route_candidate {
    std::string id;
    std::uint32_t own_in_flight = 0;     ///< This router's requests in flight.
    std::uint32_t concurrency_limit = 1; ///< This router's limit for requests in flight on the target.
    std::uint32_t capacity = 1;          ///< Number of requests that the target runs concurrently.
    double others_in_flight = 0.0;       ///< Average number of other routers' requests.
    double relative_latency = 1.0; ///< Latency relative to the median of the service's targets, at least 1.
    bool suspended = false; ///< Not serving, ejected, reserved for a suspect request, already tried, or busy
                            ///< for a suspect request.
};

/// Why a target was selected, for the log.
enum class route_reason {
    only_one,        ///< The only eligible candidate.
    less_loaded,     ///< The least loaded candidate with room.
    prefix_affinity, ///< The preferred target for the prompt's prefix, and not overloaded.
};

/// The selected candidate's index in the span, with the reason and its expected load.
struct route_choice {
    std::size_t index = 0;
    route_reason reason = route_reason::only_one;
    double score = 0.0;
};

/// The name shown in logs and by `corianderctl explain`.
[[nodiscard]] const char* name_of(route_reason reason) noexcept;

/// The expected load of a target with one more request, in units of its capacity, times its relative latency.
[[nodiscard]] double expected_load(const route_candidate& candidate) noexcept;

/// Whether the target may receive one more request.
[[nodiscard]] inline bool has_room(const route_candidate& candidate) noexcept
{
    return !candidate.suspended && candidate.own_in_flight < candidate.concurrency_limit;
}

/// Selects a target: the preferred one if its load is at most `affinity_bound` above the lowest load;
/// otherwise the least loaded one, at random among equals. Returns nothing if no target has room.
///
/// Routers have exact counts of their own requests, which differ between routers. Comparing all targets
/// therefore does not make all routers select the same one. Comparing two targets drawn at random was worse
/// (docs/DESIGN.md).
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
