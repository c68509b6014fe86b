#include "coriander/replica_picker.hpp"

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

double expected_load(const route_candidate& candidate) noexcept
{
    const double capacity = std::max<std::uint32_t>(1, candidate.capacity);
    // Includes the new request, so that the relative latency matters on an idle target.
    return (candidate.own_in_flight + candidate.others_in_flight + 1.0) / capacity *
           candidate.relative_latency;
}

} // namespace coriander
