#pragma once

#include <concepts>
#include <cstdint>
#include <random>
#include <string>

namespace coriander {

/// A generator of uniformly distributed 64-bit numbers.
template <typename T>
concept random_source = requires(T& source)
{
    {
        source()
        } -> std::convertible_to<std::uint64_t>;
};

/// Returns a uniformly distributed index below `bound`. Precondition: `bound` > 0.
template <random_source Random>
[[nodiscard]] std::size_t draw_index(Random& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

/// Returns a random identifier of 32 hexadecimal digits (128 bits), unique in practice.
template <random_source Random>
[[nodiscard]] std::string draw_token(Random& random)
{
    constexpr int digits_per_word = 16;
    constexpr auto digits = "0123456789abcdef";
    std::string token;
    for (int word = 0; word < 2; ++word) {
        auto bits = random();
        for (int i = 0; i < digits_per_word; ++i, bits >>= 4U) {
            token += digits[bits & 0xFU];
        }
    }
    return token;
}

/// Returns a generator seeded from the operating system. The generator is not thread-safe.
[[nodiscard]] inline std::mt19937_64 seeded_generator()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64{seed};
}

} // namespace coriander
