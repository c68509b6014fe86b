#pragma once

#include "coriander/time_ms.hpp"

#include <chrono>
#include <concepts>

namespace coriander {

/// Anything that tells the time. Decisions take their clock through this concept so that tests can drive it.
template <typename T>
concept clock_source = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<time_ms>;
};

/// The machine's monotonic clock. Thread-safe; never goes back.
class monotonic_clock {
public:
    /// Milliseconds since an arbitrary point. Never fails.
    [[nodiscard]] time_ms now() const noexcept
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count()};
    }
};

/// Wall-clock time since 1970, for timestamps that people or other hosts read. Thread-safe.
[[nodiscard]] inline time_ms wall_clock_now() noexcept
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

/// The wall clock as a clock source. Thread-safe; may jump.
class wall_clock {
public:
    /// Milliseconds since 1970.
    [[nodiscard]] time_ms now() const noexcept { return wall_clock_now(); }
};

} // namespace coriander
