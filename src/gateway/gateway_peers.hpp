#pragma once

#include "coriander/clock.hpp"
#include "coriander/membership.hpp"
#include "coriander/relay/permit_message.hpp"
#include "coriander/table_delta.hpp"
#include "gateway/gateway_report.hpp"
#include "gateway/peer_builds.hpp"
#include "gateway/relay_keys.hpp"
#include "gateway/relaying_gateway.hpp"
#include "gateway/sent_manifests.hpp"
#include "peer/peer_link.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What a daemon reports of itself in each round.
struct daemon_state {
    bool is_stopping = false;
    bool reaches_table = true;
    bool is_cut_off = false; ///< It can't reach the hosts of some service.
};

/// Exchanges heartbeats with the other gateways, and sends the manifest to those that have an older one, so
/// that a daemon that the store rejects stays up to date. A daemon that reads changes from a table forwards
/// them, so that not every daemon polls the store. Soft state only. Must be used on the event loop's thread
/// only.
class gateway_peers {
public:
    /// Receives a manifest sent by a peer.
    using manifest_handler = std::function<void(std::uint64_t version, const std::string& text)>;

    /// Receives table changes that a peer has read.
    using news_handler = std::function<void(const table_delta&)>;

    /// Receives the load reported by the daemon with the id `sender`.
    using loads_handler = std::function<void(std::uint64_t sender, const load_update&)>;

    /// Receives hosts that a peer has found lost.
    using losses_handler = std::function<void(std::span<const lost_host>)>;

    /// Receives what a peer knows about crashes.
    using crashes_handler = std::function<void(const crash_update&)>;

    /// Receives permit requests and answers of the peer with the address `sender`.
    using permits_handler = std::function<void(const std::string& sender, const permit_message&)>;

    /// Listens on the identity's address and `port`. Throws `std::system_error` when it can't be bound.
    gateway_peers(asio::io_context& loop, const member_identity& self, std::uint16_t port,
                  std::vector<std::string> seeds, manifest_handler manifest, news_handler news);

    /// Sets the bounds of what others may open and send. Call it before the loop runs.
    void set_limits(const peer_link_limits& limits) { this->link.set_limits(limits); }

    /// Adds a gateway found in the table.
    void introduce(const member_identity& identity);

    /// Sets the receiver of peers' load reports.
    void set_load_listener(loads_handler listener) { this->loads = std::move(listener); }

    /// Sets the receiver of hosts that peers have found lost.
    void set_loss_listener(losses_handler listener) { this->losses = std::move(listener); }
    /// Sets the receiver of the newest manifest's version that a message names.
    void set_version_listener(std::function<void(std::uint64_t)> listener)
    {
        this->versions = std::move(listener);
    }
    /// Sets the receiver of peers' reports on crashes.
    void set_crash_listener(crashes_handler listener) { this->crashes = std::move(listener); }
    /// Sets the receiver of peers' permit requests and answers.
    void set_permit_listener(permits_handler listener) { this->permits = std::move(listener); }
    /// Sends permit requests or answers to the peer with this address.
    void send_permits(const std::string& address, const permit_message& message);
    /// The address of the peer that issues the permits of a target, one of the gateways that take callers'
    /// requests; nothing if it is this gateway.
    [[nodiscard]] std::optional<std::string> permit_issuer_of(std::uint64_t target) const;

    /// Receives peers' reports on requests that they keep on dissolving replicas.
    using kept_handler = std::function<void(const kept_requests&)>;
    /// Sets the receiver of these reports.
    void set_kept_listener(kept_handler listener) { this->kept = std::move(listener); }
    /// Sends such a report to the named daemon.
    void send_kept(const kept_requests& report, const std::string& name);

    /// Sets the source of the crash reports that a daemon gets when it is first heard of.
    void set_crash_source(std::function<crash_update()> source) { this->known_crashes = std::move(source); }
    /// Notifies the named daemons that a host is lost. They probe it themselves.
    void send_loss(const lost_host& host, std::span<const std::string> names)
    {
        this->send_losses({&host, 1}, names);
    }
    /// The same for several hosts, in one message.
    void send_losses(std::span<const lost_host> hosts, std::span<const std::string> names);

    /// Sends heartbeats and loads to some of the peers; to be called every `round_length`. Only the first
    /// `loads_per_message` targets of `load_reports` are sent.
    void send_round(std::uint64_t manifest_version, const std::string& manifest_text,
                    const daemon_state& state, load_update load_reports, crash_update crash_reports);
    /// At 16 bytes each and 20 messages per second, 5 KB/s of the 8 KB/s that control traffic may use per
    /// daemon.
    static constexpr std::size_t loads_per_message = 16;
    static constexpr time_ms round_length{400};
    /// At about 60 bytes each.
    static constexpr std::size_t crashes_per_message = 32;
    /// Rate limits per message, at 16 bytes each; with more, they are sent in turns.
    static constexpr std::size_t limits_per_message = 8;
    /// Reports for a daemon that has just started.
    static constexpr std::size_t max_first_crashes = 128;

    /// Whether this daemon reads the table for its reader group; one daemon of each group does.
    [[nodiscard]] bool is_reader(std::string_view table) const;
    /// Sends changes read from a table to this daemon's reader group.
    void publish(const table_delta& news);

    /// All other live gateways that take callers' requests and aren't stopping.
    [[nodiscard]] std::vector<member_identity> serving() const;
    /// Those of them that reach the hosts of all services and recognize the mark of a request that is passed
    /// on to them.
    [[nodiscard]] std::vector<relaying_gateway> relaying() const;
    /// Sets whether this gateway can work for others beside its callers.
    void set_strong(bool is_strong) { this->members.set_strong(is_strong); }
    /// Sets the key of this gateway, which it sends to its peers.
    void set_relay_key(const mac_key& key) { this->relay_key = key; }
    /// This gateway, and all others that are alive, with their builds and features.
    [[nodiscard]] std::vector<gateway_report> reports() const;
    /// Whether all other live gateways understand the feature, also those that are stopping.
    [[nodiscard]] bool all_understand(peer_feature feature) const;
    /// The number of live gateways, including this one.
    [[nodiscard]] std::size_t count() const;
    /// Sorted names of the gateways that can control replicas: this one, and all others that are alive, reach
    /// the table and aren't stopping. Without those that are cut off from hosts, unless all are. If enough of
    /// them are strong, only these.
    [[nodiscard]] const std::vector<std::string>& controllers() const;
    /// Whether this gateway is one of them.
    [[nodiscard]] bool is_controller() const;

    [[nodiscard]] const member_identity& self() const noexcept { return this->members.self(); }
    /// The port on which peers' messages arrive.
    [[nodiscard]] std::uint16_t port() const { return this->link.port(); }

private:
    /// So many strong gateways control and read for all. With fewer, the loss of some would leave too few.
    static constexpr std::size_t min_strong = 4;
    /// Most daemons of a reader group; keeps what a reader sends constant for any number of daemons. With
    /// more daemons, a group has those of one failure domain, so that table deltas seldom leave it.
    static constexpr std::size_t reader_group_size = 64;

    /// The controllers, and for which tables this gateway reads, as of a digest of what they follow from.
    struct controller_list {
        std::uint64_t digest = 0;
        std::vector<std::string> names;
        std::vector<std::string> nearby; ///< Those of them in this gateway's failure domain.
        std::size_t nearby_daemons = 0;  ///< All gateways in this failure domain.
        std::size_t daemons = 0;         ///< All gateways.
        std::map<std::string, bool, std::less<>> is_reader; ///< By table.
    };

    /// A digest of the live gateways and of their states that decide who controls.
    [[nodiscard]] std::uint64_t controller_digest() const;
    /// The list, made anew if the digest has changed: it is needed many times a second, and changes seldom.
    [[nodiscard]] controller_list& current_controllers() const;
    [[nodiscard]] bool find_is_reader(std::string_view table) const;

    void receive(const peer_message& message);
    /// Whether a live peer has an older manifest, by its last heartbeat.
    [[nodiscard]] bool lacks_manifest(std::uint64_t version, time_ms now) const;
    void note_build(const member_identity& reported);
    void send_to(std::span<const std::string> names, const peer_message& message);
    /// Sends a message with large parts, compressed to those that understand that.
    void send_large(std::span<const member_identity> recipients, const peer_message& message);
    void send_known_crashes(const member_identity& sender);
    /// Whether the daemon receives table deltas from the same reader as this one.
    [[nodiscard]] bool is_in_own_group(const std::string& name, const std::string& failure_domain) const;

    std::vector<std::string> seeds;
    manifest_handler manifest;
    news_handler news;
    loads_handler loads = [](std::uint64_t, const load_update&) {};
    std::function<void(std::uint64_t)> versions = [](std::uint64_t) {};
    crashes_handler crashes = [](const crash_update&) {};
    std::function<crash_update()> known_crashes = [] { return crash_update{}; };
    std::map<std::string, std::uint64_t> informed_peers; ///< Incarnations of the peers heard of, by name.
    permits_handler permits = [](const std::string&, const permit_message&) {};
    kept_handler kept = [](const kept_requests&) {};
    std::size_t limit_cursor = 0;
    losses_handler losses = [](std::span<const lost_host>) {};
    std::uint64_t manifest_version = 0;
    time_ms manifest_received_at; ///< When this daemon received that version.
    sent_manifests sent;
    std::optional<mac_key> relay_key; ///< Of this gateway.
    relay_keys peer_keys;
    peer_builds builds;
    monotonic_clock clock;
    membership members;
    mutable controller_list known_controllers;
    std::mt19937 random;
    peer_link link;
};

} // namespace coriander
