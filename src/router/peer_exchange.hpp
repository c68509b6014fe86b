#pragma once

#include "coriander/clock.hpp"
#include "coriander/customer_gate.hpp"
#include "coriander/membership.hpp"
#include "peer/peer_link.hpp"
#include "router/config_store.hpp"
#include "router/service_routes.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace coriander {

/// What the exchange needs to know of its router every round.
struct local_state {
    bool stopping = false;
    bool table_reachable = true;
};

/// Tells other routers of this one and learns of them: who lives, which configuration they follow, what their
/// customers demand, and which requests are suspected.
///
/// Lock order: `mutex`, then a route's lock, then leaves.
class peer_exchange {
public:
    /// `seeds` are addresses to try while no member is known.
    peer_exchange(member_identity self, const std::string& address, std::uint16_t port,
                  std::vector<std::string> seeds, config_store& configs, service_routes& routes);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Starts to talk. `http_address` completes the identity.
    void start(const std::string& http_address);

    /// Sets what the next messages say. Thread-safe.
    void set_state(const local_state& state);

    /// Learns of a member from the table. Thread-safe.
    void add_member(const member_identity& identity);

    /// Tells the latest strikes to others at once. Thread-safe.
    void send_strikes_now();

    /// Other members that live. Thread-safe.
    [[nodiscard]] std::vector<member_view> alive();

    /// Other members known, alive or not. Thread-safe.
    [[nodiscard]] std::size_t known_peer_count();

    /// Whether the router that signs as `name@incarnation` is known to live. Thread-safe.
    [[nodiscard]] bool is_owner_alive(const std::string& owner);

    /// This daemon's identity. Thread-safe.
    [[nodiscard]] member_identity self();

    /// Passes a customer's request through the gate. Thread-safe.
    [[nodiscard]] bool try_pass(const customer_rule& customer);
    [[nodiscard]] time_ms retry_after(const customer_rule& customer);

    [[nodiscard]] const peer_link& link() const noexcept { return this->transport; }

private:
    /// The latest demand of one other router.
    struct router_demand {
        time_ms received_at;
        std::vector<customer_demand> list;
    };

    void gossip_loop();
    void send_gossip();
    void on_message(const peer_message& message);
    void merge_strikes(const std::vector<strike_report>& strikes);
    void update_demand(time_ms now);
    peer_message make_message(time_ms now);
    std::vector<strike_report> recent_strikes(time_ms now);
    void send_to(const std::vector<member_identity>& targets, peer_message message);

    monotonic_clock clock;
    config_store& configs;
    service_routes& routes;
    std::vector<std::string> seeds;
    std::mutex mutex; ///< Guards the members below, up to `transport`.
    std::condition_variable stop_requested;
    bool stopping = false;
    local_state state;
    member_identity identity;
    std::unique_ptr<membership> members;
    customer_gate gate;
    std::map<std::uint64_t, router_demand> demands;
    std::mt19937_64 random = seeded_generator();
    peer_link transport;
    std::thread thread;
};

} // namespace coriander
