#pragma once

#include "coriander/clock.hpp"
#include "coriander/customer_rate_limiter.hpp"
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

/// The router's own state, as sent with each heartbeat.
struct local_state {
    bool stopping = false;
    bool table_reachable = true;
};

/// Gossips with the other routers: liveness, configuration in use, demand of each customer, and requests that
/// are suspected of killing targets.
///
/// Lock order: `mutex`, then a route's lock, then the leaf locks.
class peer_exchange {
public:
    /// `seeds` are the addresses to contact while no other member is known.
    peer_exchange(member_identity self, const std::string& address, std::uint16_t port,
                  std::vector<std::string> seeds, config_store& configs, service_routes& routes);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// Starts the gossip thread. `http_address` is published with this router's identity.
    void start(const std::string& http_address);

    /// Sets the state to send from the next heartbeat on. Thread-safe.
    void set_state(const local_state& state);

    /// Adds a member that was found in the table. Thread-safe.
    void add_member(const member_identity& identity);

    /// Sends the latest strikes to other routers without waiting for the next round. Thread-safe.
    void send_strikes_now();

    /// Other members that are alive. Thread-safe.
    [[nodiscard]] std::vector<member_view> alive();

    /// Number of other known members, alive or not. Thread-safe.
    [[nodiscard]] std::size_t known_peer_count();

    /// Whether the claim owner `name@incarnation` is known to be alive. Thread-safe.
    [[nodiscard]] bool is_owner_alive(const std::string& owner);

    /// This router's identity. Thread-safe.
    [[nodiscard]] member_identity self();

    /// Counts a customer's request and decides whether it is within the rate limit. Thread-safe.
    [[nodiscard]] bool try_pass(const customer_rule& customer);

    /// How long until the customer's next request would be admitted here. Thread-safe.
    [[nodiscard]] time_ms retry_after(const customer_rule& customer);

    [[nodiscard]] const peer_link& link() const noexcept { return this->transport; }

private:
    /// The latest demand reported by one other router.
    struct router_demand {
        time_ms received_at;
        std::vector<customer_demand> customers;
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
    customer_rate_limiter gate;
    std::map<std::uint64_t, router_demand> demands;
    std::mt19937_64 random = seeded_generator();
    peer_link transport;
    std::thread thread;
};

} // namespace coriander
