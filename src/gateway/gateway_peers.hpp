#pragma once

#include "coriander/clock.hpp"
#include "coriander/membership.hpp"
#include "coriander/table_delta.hpp"
#include "gateway/sent_manifests.hpp"
#include "peer/peer_link.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Tells the other gateways that this one lives, learns who else does, and passes the manifest on to those
/// that have an older one: so a daemon that the store turns away keeps up. What one daemon reads from a table
/// it passes on, so that not all ask the store. Soft state only. Used on the
/// loop's thread.
class gateway_peers {
public:
    /// A manifest that a peer sent: its version and text.
    using on_manifest = std::function<void(std::uint64_t version, const std::string& text)>;

    /// What a peer has read from a table for others.
    using on_news = std::function<void(const table_delta&)>;

    /// What the daemon with the id `sender` tells of load.
    using on_loads = std::function<void(std::uint64_t sender, const load_news&)>;

    /// Hosts that a peer has found lost.
    using on_losses = std::function<void(std::span<const lost_host>)>;

    /// Listens on the identity's address and `port`. Throws `std::system_error` when it can't be bound.
    gateway_peers(asio::io_context& loop, const member_identity& self, std::uint16_t port,
                  std::vector<std::string> seeds, on_manifest manifest, on_news news);

    /// Learns of another gateway from the table.
    void introduce(const member_identity& identity);

    /// Sets who learns what peers tell of load.
    void listen_loads(on_loads listener) { this->loads = std::move(listener); }

    /// Sets who learns of hosts that peers have found lost.
    void listen_losses(on_losses listener) { this->losses = std::move(listener); }
    /// Tells the daemons of these names that a host is lost.
    void tell_loss(const lost_host& host, std::span<const std::string> names);

    /// Tells some of the others how things are: call every `round_length`. Of the targets in `known_loads`
    /// the first `loads_per_message` are told.
    void round(std::uint64_t manifest_version, const std::string& manifest_text, bool is_stopping,
               bool reaches_table, load_news known_loads);
    /// 16 bytes each, 20 messages a second: 5 KB/s of the 8 KB/s that control may take on each daemon.
    static constexpr std::size_t loads_per_message = 16;
    static constexpr time_ms round_length{400};

    /// Whether this daemon reads the table for its circle: one daemon of each circle does.
    [[nodiscard]] bool is_reader(std::string_view table) const;
    /// Tells this daemon's circle what was read.
    void publish(const table_delta& news);

    /// All others that live and don't stop.
    [[nodiscard]] std::vector<member_identity> serving() const;
    /// How many live, this one included.
    [[nodiscard]] std::size_t count() const;
    /// Names of those that can give orders, this one included: they live, don't stop and reach the table.
    [[nodiscard]] std::vector<std::string> controllers() const;

    [[nodiscard]] const member_identity& self() const noexcept { return this->members.self(); }

private:
    /// Daemons that one reads a table for: what it sends stays the same however many there are.
    static constexpr std::size_t circle_size = 64;

    void receive(const peer_message& message);
    [[nodiscard]] static std::size_t circle_of(const std::string& name, std::size_t daemons);

    std::vector<std::string> seeds;
    on_manifest manifest;
    on_news news;
    on_loads loads = [](std::uint64_t, const load_news&) {};
    on_losses losses = [](std::span<const lost_host>) {};
    std::uint64_t manifest_version = 0;
    time_ms manifest_since; ///< When this daemon had it.
    sent_manifests sent;
    monotonic_clock clock;
    membership members;
    std::mt19937 random;
    peer_link link;
};

} // namespace coriander
