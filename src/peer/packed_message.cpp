#include "peer/packed_message.hpp"

#include <zlib.h>

#include <utility>

namespace coriander {
namespace {

/// Smaller messages fit into a packet or two as they are.
constexpr std::size_t min_packed_bytes = 1024;
/// As large as a message may be that is not packed.
constexpr std::size_t max_unpacked_bytes = 4U << 20U;
/// Rows shrink to a sixth at the lowest level; higher ones take a small machine too long.
constexpr int level = 1;

} // namespace

peer_message pack_message(peer_message message)
{
    peer_message large;
    large.news = std::move(message.news);
    large.config = std::move(message.config);
    const auto bytes = encode_peer_message(large);
    if (bytes.size() >= min_packed_bytes) {
        std::vector<std::uint8_t> packed(compressBound(bytes.size()));
        auto length = static_cast<uLongf>(packed.size());
        if (compress2(packed.data(), &length, bytes.data(), bytes.size(), level) == Z_OK &&
            length < bytes.size()) {
            packed.resize(length);
            message.packed = std::move(packed);
            message.packed_size = static_cast<std::uint32_t>(bytes.size());
            message.news.reset();
            message.config.reset();
            return message;
        }
    }
    message.news = std::move(large.news);
    message.config = std::move(large.config);
    return message;
}

result<peer_message> unpack_message(peer_message message)
{
    if (message.packed.empty()) {
        return message;
    }
    if (message.packed_size > max_unpacked_bytes) {
        return fail(error_kind::malformed, "packed message too large");
    }
    std::vector<std::uint8_t> bytes(message.packed_size);
    auto length = static_cast<uLongf>(bytes.size());
    const auto packed = std::exchange(message.packed, {});
    if (uncompress(bytes.data(), &length, packed.data(), packed.size()) != Z_OK || length != bytes.size()) {
        return fail(error_kind::malformed, "damaged packed message");
    }
    auto large = decode_peer_message(bytes);
    if (!large) {
        return large.error();
    }
    message.packed_size = 0;
    message.news = std::move(large.value().news);
    message.config = std::move(large.value().config);
    return message;
}

} // namespace coriander
