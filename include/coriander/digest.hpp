#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

/// SHA-256 as 64 hexadecimal digits. Thread-safe.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// A fast, non-cryptographic 64-bit hash that is the same on every machine. Thread-safe.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace coriander
