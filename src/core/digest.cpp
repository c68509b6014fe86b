#include "coriander/digest.hpp"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>

namespace coriander {

std::string sha256_hex(std::string_view bytes)
{
    constexpr auto digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error{"SHA-256 is not available in this build of the crypto library"};
    }
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xFU];
    }
    return text;
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace coriander
