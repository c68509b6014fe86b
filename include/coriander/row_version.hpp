#pragma once

#include <compare>
#include <cstdint>

namespace coriander {

/// A version that the store has given out. A store that is restored from an earlier copy begins a new era and
/// gives out numbers again, so a number alone does not identify a version. All versions of an era come after
/// those of earlier ones.
struct row_version {
    constexpr row_version() = default;
    constexpr row_version(std::uint64_t era, std::uint64_t number) : era{era}, number{number} {}

    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0: the row does not exist.

    auto operator<=>(const row_version&) const = default;
};

} // namespace coriander
