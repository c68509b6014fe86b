#pragma once

#include "coriander/settings.hpp"
#include "http/http_server.hpp"
#include "router/router_context.hpp"
#include "router/table_poller.hpp"
#include "runtime/admin_pages.hpp"
#include "runtime/host_poller.hpp"
#include "runtime/metrics.hpp"

#include <asio/thread_pool.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coriander {

/// The router process of one entry host: HTTP server, background threads and their shared state.
class router {
public:
    explicit router(const settings& values);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Starts the HTTP server, the exchange with peers and the background threads.
    void start();

    /// Shuts down gracefully: announces it to peers, keeps accepting requests while callers may still use a
    /// list of entry hosts that names this one, waits for running requests up to the drain limit and stops
    /// the threads. Blocks.
    void stop();

    [[nodiscard]] std::uint16_t port() const noexcept { return this->server->port(); }

private:
    void handle(const std::shared_ptr<const http_request>& request, const std::shared_ptr<http_reply>& reply);
    void send_entry_hosts(http_reply& reply);
    void send_status(http_reply& reply);
    void refresh_loop();
    void health_loop();
    void claim_loop();
    void sweep_loop();
    void poll_targets();
    void on_load_report(const host_report& report, time_ms asked_at);
    void poll_cache_events();
    void request_cache_events(const std::shared_ptr<service_route>& route, const replica_record& replica);
    void update_routes();
    void refuse_timed_out(service_route& route);
    void update_gauges();
    void stop_threads();
    void wait_for_sessions(time_ms limit);
    [[nodiscard]] bool is_ready();
    bool pause(time_ms length);

    settings values;
    std::string incarnation;
    metrics numbers;
    platform_client platform;
    config_store configs;
    service_routes routes;
    peer_exchange peers;
    table_poller table;
    host_poller poller;
    session_registry sessions;
    wall_clock wall;
    router_context::ledger_type claims;
    asio::thread_pool workers;
    std::atomic<bool> isolated{false};
    std::atomic<bool> stopping{false};
    std::atomic<bool> routes_ready{false};
    router_context context;
    admin_pages pages;
    // Declared after the members above, since the clients' destructors run callbacks that use them.
    http_client control_client;
    http_client data_client;
    std::unique_ptr<http_server> server;
    std::mutex mutex; ///< Guards `ended`.
    std::condition_variable end_requested;
    bool ended = false;
    std::vector<std::thread> threads;
    time_ms cache_polled_at; ///< Used by the health thread only.
};

} // namespace coriander
