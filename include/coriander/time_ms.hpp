#pragma once

#include <compare>
#include <cstdint>

namespace coriander {

/// A point in time or a duration, in milliseconds.
///
/// Points are counted from an epoch that each clock defines; only differences between points of the same
/// clock are meaningful. Like other value types, safe to read from several threads.
class time_ms {
public:
    constexpr time_ms() noexcept = default;

    /// Makes a value of `count` milliseconds.
    constexpr explicit time_ms(std::int64_t count) noexcept : value{count} {}

    /// The number of milliseconds.
    [[nodiscard]] constexpr std::int64_t count() const noexcept { return this->value; }

    /// The same duration in seconds, including the fraction.
    [[nodiscard]] constexpr double seconds() const noexcept
    {
        return static_cast<double>(this->value) / 1000.0;
    }

    constexpr auto operator<=>(const time_ms&) const noexcept = default;
    constexpr time_ms operator+(time_ms other) const noexcept { return time_ms{this->value + other.value}; }
    constexpr time_ms operator-(time_ms other) const noexcept { return time_ms{this->value - other.value}; }
    constexpr time_ms operator*(std::int64_t factor) const noexcept { return time_ms{this->value * factor}; }
    constexpr time_ms operator/(std::int64_t divisor) const noexcept
    {
        return time_ms{this->value / divisor};
    }

private:
    std::int64_t value = 0;
};

inline namespace literals {

constexpr time_ms operator""_ms(unsigned long long count)
{
    return time_ms{static_cast<std::int64_t>(count)};
}

constexpr time_ms operator""_s(unsigned long long count)
{
    return time_ms{static_cast<std::int64_t>(count) * 1000};
}

} // namespace literals
} // namespace coriander
