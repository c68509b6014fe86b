#pragma once

#include "coriander/time_ms.hpp"

#include <chrono>
#include <concepts>

namespace coriander {

/// A source of time. Classes that depend on time take their clock as a parameter, so that tests can control
/// it.
template <typename T>
concept clock_source = requires(const T& clock)
{
    {
        clock.now()
        } -> std::same_as<time_ms>;
};

/// The machine's monotonic clock: never goes backwards. Thread-safe.
class monotonic_clock {
public:
    /// Milliseconds since an arbitrary point. Never fails.
    [[nodiscard]] time_ms now() const noexcept
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count()};
    }
};

/// Wall-clock time since 1970, for timestamps that leave this process. Thread-safe.
[[nodiscard]] inline time_ms wall_clock_now() noexcept
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

/// The wall clock as a `clock_source`: may jump in either direction. Thread-safe.
class wall_clock {
public:
    /// Milliseconds since 1970.
    [[nodiscard]] time_ms now() const noexcept { return wall_clock_now(); }
};

} // namespace coriander
