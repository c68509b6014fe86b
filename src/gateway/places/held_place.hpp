#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coriander {

/// A place at a target that a request of this daemon holds.
struct held_place {
    std::uint64_t id = 0;
    std::uint64_t target = 0;
    std::optional<std::string> keeper; ///< Address of the daemon that granted it; nothing: this one.
};

} // namespace coriander
