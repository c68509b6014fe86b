#pragma once

#include "coriander/clock.hpp"
#include "coriander/membership.hpp"
#include "peer/peer_link.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace coriander {

/// Tells the other gateways that this one lives, learns who else does, and passes the manifest on to those
/// that have an older one: so a daemon that the store turns away keeps up. Soft state only. Used on the
/// loop's thread.
class gateway_peers {
public:
    /// A manifest that a peer sent: its version and text.
    using on_manifest = std::function<void(std::uint64_t version, const std::string& text)>;

    /// Listens on the identity's address and `port`. Throws `std::system_error` when it can't be bound.
    gateway_peers(asio::io_context& loop, const member_identity& self, std::uint16_t port,
                  std::vector<std::string> seeds, on_manifest manifest);

    /// Learns of another gateway from the table.
    void introduce(const member_identity& identity);

    /// Tells some of the others how things are: call every `round_length`.
    void round(std::uint64_t manifest_version, const std::string& manifest_text, bool is_stopping,
               bool reaches_table);
    static constexpr time_ms round_length{400};

    /// All others that live and don't stop.
    [[nodiscard]] std::vector<member_identity> serving() const;
    /// How many live, this one included.
    [[nodiscard]] std::size_t count() const;
    /// Names of those that can give orders, this one included: they live, don't stop and reach the table.
    [[nodiscard]] std::vector<std::string> controllers() const;

    [[nodiscard]] const member_identity& self() const noexcept { return this->members.self(); }

private:
    /// Messages a round. With more gateways the beats reach all through others.
    static constexpr std::size_t targets_per_round = 8;

    void receive(const peer_message& message);
    [[nodiscard]] bool should_tell(const member_view& other) const;

    std::vector<std::string> seeds;
    on_manifest manifest;
    monotonic_clock clock;
    membership members;
    std::mt19937 random;
    peer_link link;
};

} // namespace coriander
