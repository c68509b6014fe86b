#pragma once

#include "coriander/claim_ledger.hpp"
#include "coriander/clock.hpp"
#include "coriander/settings.hpp"
#include "http/http_client.hpp"
#include "router/config_store.hpp"
#include "router/peer_exchange.hpp"
#include "router/service_routes.hpp"
#include "router/session_registry.hpp"
#include "runtime/metrics.hpp"
#include "runtime/platform_client.hpp"

#include <asio/thread_pool.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>

namespace coriander {

/// The state that all requests of a router share.
///
/// Lock order: a session's lock, then the peer exchange's, then a route's, then the leaf locks (registry, id
/// generator, configuration, metrics, log). The table is never called under a lock.
struct router_context {
    using ledger_type = claim_ledger<platform_client, wall_clock, std::mt19937_64>;

    const settings& values;
    monotonic_clock clock;
    wall_clock wall;
    metrics& numbers;
    platform_client& platform;
    http_client& client;
    config_store& configs;
    service_routes& routes;
    peer_exchange& peers;
    ledger_type& claims;
    session_registry& sessions;
    asio::thread_pool& workers; ///< For blocking work, such as claims.
    std::atomic<bool>& isolated;

    /// A new unique id. Thread-safe.
    [[nodiscard]] std::string new_unique_id();

    /// Dispatches queued requests of the route to targets that have free capacity. Call without locks held.
    void dispatch_queued(service_route& route);
};

} // namespace coriander
