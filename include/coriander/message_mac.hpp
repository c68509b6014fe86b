#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace coriander {

/// Size of a key in bytes: 128 bits, which can't be guessed.
inline constexpr std::size_t mac_key_size = 16;

/// A secret key. Must not appear in logs, metrics or pages.
using mac_key = std::array<std::uint8_t, mac_key_size>;

/// An HMAC-SHA-256.
using message_mac = std::array<std::uint8_t, 32>;

/// Draws a key from the crypto library's random numbers. Thread-safe. Throws `std::runtime_error` if they are
/// not available.
[[nodiscard]] mac_key draw_mac_key();

/// The code of `fields` in this order, each with its length, so that no two lists of fields are the same
/// message. Thread-safe. Throws `std::runtime_error` if the crypto library can't compute it.
[[nodiscard]] message_mac compute_mac(std::span<const std::uint8_t> key,
                                      std::span<const std::string_view> fields);

/// Whether both are the same, in a time that doesn't depend on where they differ. Thread-safe.
[[nodiscard]] bool is_same_mac(std::span<const std::uint8_t> a, std::span<const std::uint8_t> b) noexcept;

} // namespace coriander
