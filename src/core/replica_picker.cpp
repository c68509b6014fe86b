#include "coriander/replica_picker.hpp"

#include <cmath>

namespace coriander {

const char* name_of(route_reason reason) noexcept
{
    switch (reason) {
    case route_reason::only_one:
        return "only_one";
    case route_reason::less_loaded:
        return "less_loaded";
    case route_reason::prefix_affinity:
        return "prefix_affinity";
    }
    return "unknown";
}

double expected_load(const route_candidate& candidate, time_ms now) noexcept
{
    // Reports from other routers' requests lose half their weight in this time.
    constexpr time_ms report_half_life = 2_s;
    const double own = candidate.own_in_flight;
    double others = 0.0;
    if (candidate.load.known) {
        const double reported = static_cast<double>(candidate.load.running) + candidate.load.queued;
        const double age = std::max(0.0, (now - candidate.load.seen_at).seconds());
        const double weight = std::exp2(-age / report_half_life.seconds());
        others = weight * std::max(0.0, reported - candidate.own_when_sampled);
    }
    const double capacity = std::max<std::uint32_t>(1, candidate.capacity);
    // The request to be placed counts too, so that slowness matters on an idle target.
    return (own + others + 1.0) / capacity * candidate.slowness;
}

} // namespace coriander
