#include "coriander/message_mac.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>
#include <string>

namespace coriander {

mac_key draw_mac_key()
{
    mac_key key{};
    if (RAND_bytes(key.data(), static_cast<int>(key.size())) != 1) {
        throw std::runtime_error{"the crypto library has no random numbers"};
    }
    return key;
}

message_mac compute_mac(std::span<const std::uint8_t> key, std::span<const std::string_view> fields)
{
    std::string message;
    for (const auto field : fields) {
        message += std::to_string(field.size());
        message += ':';
        message += field;
    }
    message_mac code{};
    unsigned length = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(message.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, message.size(), code.data(),
             &length) == nullptr ||
        length != code.size()) {
        throw std::runtime_error{"HMAC-SHA-256 is not available in this build of the crypto library"};
    }
    return code;
}

bool is_same_mac(std::span<const std::uint8_t> a, std::span<const std::uint8_t> b) noexcept
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace coriander
