#pragma once

#include <cstdint>
#include <string>

namespace coriander {

/// A host that answered none of a daemon's probes.
struct lost_host {
    std::string id;
    std::uint64_t incarnation = 0;
};

} // namespace coriander
