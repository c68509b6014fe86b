#pragma once

#include <cstdint>
#include <string>

namespace coriander {

/// A target that may receive new requests.
struct route_target {
    std::string id;
    std::string address;
    std::uint64_t generation = 0;
};

} // namespace coriander
