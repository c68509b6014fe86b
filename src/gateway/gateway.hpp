#pragma once

#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/gateway_pages.hpp"
#include "gateway/gateway_peers.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/loss_exchange.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_session.hpp"
#include "gateway/retiring_replicas.hpp"
#include "gateway/silent_host_watch.hpp"
#include "gateway/stall_response.hpp"
#include "net/http_listener.hpp"
#include "runtime/log.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace coriander {

/// One entry host's program: takes callers' requests, relays them, forms and mends replicas. `Io` is the
/// platform. Everything runs on one event loop.
template <controller_io Io>
class gateway {
public:
    gateway(asio::io_context& loop, Io& io, gateway_settings values, relay_dialect dialect,
            gateway_pages pages)
        : loop{loop}, io{io}, values{std::move(values)}, pages{std::move(pages)},
          relay{loop, std::move(dialect), this->values.failure_domain},
          control{io, this->fleet, this->values.name}, stalls{io, this->relay, this->fleet,
                                                              [this](auto hosts) { this->on_lost(hosts); }},
          losses{io, this->fleet, [this] { this->refresh(); }}, silent_hosts{io, this->fleet},
          watch_timer{loop}, control_timer{loop}, peer_timer{loop}, chores_timer{loop}, stop_timer{loop}
    {
        this->relay.retry_bounds = this->values.retries;
        this->control.on_progress([this] { this->run_control_soon(); });
    }

    /// Opens the listeners and begins. `peers` must outlive the gateway.
    void start(gateway_peers& others)
    {
        this->peers = &others;
        this->peers->listen_loads(
            [this](std::uint64_t sender, const load_update& news) { this->loads.take(sender, news); });
        this->peers->listen_losses([this](auto hosts) { this->losses.take(hosts, this->relay.clock.now()); });
        this->listen(this->values.readiness_address, this->page_handlers());
        if (!this->values.directory_address.empty()) {
            this->listen(this->values.directory_address, this->page_handlers());
        }
        if (!this->values.metrics_address.empty()) {
            this->listen(this->values.metrics_address, this->page_handlers());
        }
        this->callers = this->listen(this->values.callers_address, this->caller_handlers());
        this->run_control();
        this->run_peers();
        this->run_chores();
    }

    /// Puts a manifest in force unless it is older than the one that is.
    void set_manifest(relay_manifest manifest, const std::string& text, const char* source)
    {
        const auto current = this->relay.routes ? this->relay.routes->manifest().version : 0;
        if (manifest.version <= current) {
            return;
        }
        log_event(event::config_in_force, {{"version", manifest.version},
                                           {"before", current},
                                           {"routes", manifest.routes.size()},
                                           {"services", manifest.services.size()},
                                           {"customers", manifest.customers.size()},
                                           {"source", source}});
        this->manifest_text = text;
        this->relay.routes = std::make_shared<const route_table>(std::move(manifest));
        this->refresh();
    }

    /// What is known of hosts and replicas. Call `refresh` after changes.
    [[nodiscard]] fleet_view& view() noexcept { return this->fleet; }

    /// Lets control begin: the host list and the records have been read whole. Before, every host would seem
    /// to be gone.
    void begin_control() { this->knows_fleet = true; }

    /// Sets the targets anew after a change of hosts or replicas, and does what is due.
    void refresh()
    {
        this->update_targets();
        this->run_control();
    }

    /// The manifest that peers are told of.
    [[nodiscard]] std::uint64_t manifest_version() const
    {
        return this->relay.routes ? this->relay.routes->manifest().version : 0;
    }

    /// Begins a planned stop: no new callers are led here, what runs is finished, then the loop ends.
    void stop()
    {
        if (std::exchange(this->is_stopping, true)) {
            return;
        }
        log_event(event::process_stopping, {{"open", this->relay.open_requests}});
        this->stopped_at = this->relay.clock.now();
        this->run_peers();
        this->watch_stop();
    }

private:
    /// How often open requests are looked at for replicas that stand still.
    static constexpr time_ms watch_interval{25};
    /// A round of the watch that is later than this says nothing of others: this process stood still.
    static constexpr time_ms watch_slack{60};
    static constexpr time_ms chores_interval{1000};
    static constexpr time_ms stop_interval{100};
    /// After a stop signal new requests are refused from then on: they could be cut by the end.
    static constexpr time_ms stop_accepting{2500};
    /// Before the process is ended from outside.
    static constexpr time_ms stop_margin{400};
    /// Some callers keep the directory's answer for so many times its length.
    static constexpr std::int64_t longest_keeping = 3;

    std::shared_ptr<http_listener> listen(const std::string& address, connection_handlers handlers)
    {
        auto listener =
            std::make_shared<http_listener>(this->loop, parse_endpoint(address), std::move(handlers));
        listener->start();
        this->listeners.push_back(listener);
        return listener;
    }

    connection_limits limits() const
    {
        connection_limits bounds;
        if (this->relay.routes) {
            const auto& declared = this->relay.routes->manifest().limits;
            bounds = {declared.max_header_bytes, declared.max_body_bytes, declared.header_timeout,
                      declared.idle_timeout};
        }
        return bounds;
    }

    connection_handlers caller_handlers()
    {
        return {[this](const std::shared_ptr<caller_connection>& caller, incoming_request request) {
                    std::make_shared<relay_session>(this->relay, caller, std::move(request))->start();
                    this->run_watch();
                },
                [this] { return this->limits(); }, [this] { return this->is_stopping; }};
    }

    connection_handlers page_handlers()
    {
        return {[this](const std::shared_ptr<caller_connection>& caller, const incoming_request& request) {
                    this->serve_page(*caller, request);
                },
                [] { return connection_limits{}; }, [this] { return this->is_stopping; }};
    }

    [[nodiscard]] bool is_ready() const
    {
        return this->relay.routes != nullptr && this->knows_fleet && !this->is_stopping;
    }

    void serve_page(caller_connection& caller, const incoming_request& request)
    {
        constexpr int ok = 200;
        constexpr int not_found = 404;
        constexpr int unavailable = 503;
        const auto path = request.head.target.substr(0, request.head.target.find('?'));
        if (path == this->pages.readiness_path) {
            caller.send(this->is_ready() ? ok : unavailable, {}, {});
        }
        else if (path == this->pages.directory_path) {
            const auto addresses = this->serving_addresses();
            caller.send(addresses.empty() ? unavailable : ok, {{"Content-Type", "application/json"}},
                        this->pages.directory_text(addresses, this->values.directory_ttl));
        }
        else if (path == this->pages.metrics_path) {
            caller.send(ok, {{"Content-Type", "text/plain"}}, this->relay.counters.text());
        }
        else {
            caller.send(not_found, {}, {});
        }
    }

    /// Addresses of the entry hosts that callers are led to, in random order.
    std::vector<std::string> serving_addresses()
    {
        constexpr std::size_t most_addresses = 64;
        std::vector<std::string> addresses;
        if (this->is_ready()) {
            addresses.push_back(this->values.callers_address);
        }
        for (const auto& other : this->peers->serving()) {
            addresses.push_back(other.http_address);
        }
        std::shuffle(addresses.begin(), addresses.end(), this->relay.random);
        addresses.resize(std::min(addresses.size(), most_addresses));
        return addresses;
    }

    void update_targets()
    {
        if (!this->relay.routes) {
            return;
        }
        this->targets_as_of = this->fleet.change_count();
        for (const auto& [name, service] : this->relay.routes->manifest().services) {
            this->relay.service(name).board.set_targets(this->fleet.targets_of(service));
            if (service.engine) {
                this->stalls.leave_lost(name);
            }
        }
    }

    /// Requests on the host's replica showed that it is lost; daemons without any learn it from here.
    void on_lost(std::span<const std::string> hosts)
    {
        for (const auto& id : hosts) {
            const auto* host = this->fleet.find_host(id);
            if (host != nullptr) {
                this->peers->tell_loss(
                    {id, host->incarnation},
                    this->losses.listeners({host->service, host->fabric_domain}, this->values.name));
            }
        }
        this->refresh();
    }

    template <typename Next>
    void call_after(asio::steady_timer& timer, time_ms delay, Next next)
    {
        timer.expires_after(std::chrono::milliseconds{delay.count()});
        timer.async_wait([next](const asio::error_code& cancelled) {
            if (!cancelled) {
                next();
            }
        });
    }

    void run_watch()
    {
        if (std::exchange(this->is_watching, true)) {
            return;
        }
        this->schedule_watch();
    }

    void schedule_watch()
    {
        const auto due = this->relay.clock.now() + watch_interval;
        this->call_after(this->watch_timer, watch_interval, [this, due] {
            const auto now = this->relay.clock.now();
            this->is_watching = this->relay.open_requests > 0;
            if (now - due <= watch_slack) {
                this->check_stalls(now);
            }
            else {
                this->forgive_silence(now);
            }
            if (this->is_watching) {
                this->schedule_watch();
            }
        });
    }

    void check_stalls(time_ms now)
    {
        if (!this->relay.routes) {
            return;
        }
        const auto routes = this->relay.routes;
        for (const auto& [name, service] : routes->manifest().services) {
            if (service.engine) {
                this->stalls.check(name, now);
                this->retiring.check(service, now);
            }
        }
    }

    /// This process stood still: what it didn't hear meanwhile tells nothing of others.
    void forgive_silence(time_ms now)
    {
        for (auto& [name, state] : this->relay.services) {
            state.board.reset_silence(now);
        }
    }

    /// Runs control after the answers that are at hand, once for all of them.
    void run_control_soon()
    {
        if (!std::exchange(this->is_control_due, true)) {
            this->call_after(this->control_timer, control_pause, [this] { this->run_control(); });
        }
    }

    void run_control()
    {
        this->is_control_due = false;
        auto delay = control_idle;
        if (this->fleet.change_count() != this->targets_as_of) {
            this->update_targets();
        }
        if (this->relay.routes && this->knows_fleet && !this->is_stopping) {
            const auto now = this->relay.clock.now();
            this->control.set_cheap_loads(this->values.is_first_start && !this->relay.has_traffic);
            for (const auto& [name, service] : this->relay.routes->manifest().services) {
                if (service.engine) {
                    this->control.set_needed(
                        name, this->loads.needed(name, *service.engine, this->fleet.host_count(name)));
                    delay = std::min(delay, this->control.tick(service, now));
                }
            }
        }
        this->call_after(this->control_timer, delay, [this] { this->run_control(); });
    }

    void run_peers()
    {
        this->peers->round(this->manifest_version(), this->manifest_text, this->is_stopping,
                           this->io.reaches_table(), this->loads.known(gateway_peers::loads_per_message));
        this->relay.daemons = this->peers->count();
        this->call_after(this->peer_timer, gateway_peers::round_length, [this] { this->run_peers(); });
    }

    void run_chores()
    {
        this->relay.channels.close_old();
        this->relay.counters.set("coriander_open_requests", {},
                                 static_cast<double>(this->relay.open_requests));
        this->silent_hosts.round(this->relay.clock.now());
        this->call_after(this->chores_timer, chores_interval, [this] { this->run_chores(); });
    }

    void watch_stop()
    {
        const auto since = this->relay.clock.now() - this->stopped_at;
        this->relay.refuses_new = since >= stop_accepting;
        const auto keep_listening =
            std::min(this->values.directory_ttl * longest_keeping, this->values.stop_limit - stop_margin);
        const bool is_done = since >= keep_listening && this->relay.open_requests == 0;
        if (is_done || since >= this->values.stop_limit - stop_margin) {
            if (!is_done) {
                log_event(event::stop_limit_reached, {{"open", this->relay.open_requests}});
            }
            this->loop.stop();
            return;
        }
        this->call_after(this->stop_timer, stop_interval, [this] { this->watch_stop(); });
    }

    static constexpr time_ms control_idle{500};
    /// Answers of a replica's hosts come within it.
    static constexpr time_ms control_pause{5};

    asio::io_context& loop;
    Io& io;
    gateway_settings values;
    gateway_pages pages;
    relay_context relay;
    load_exchange loads{this->relay};
    fleet_view fleet;
    fleet_controller<Io> control;
    stall_response<Io> stalls;
    loss_exchange<Io> losses;
    retiring_replicas retiring{this->relay, this->fleet};
    silent_host_watch<Io> silent_hosts;
    gateway_peers* peers = nullptr;
    std::vector<std::shared_ptr<http_listener>> listeners;
    std::shared_ptr<http_listener> callers;
    std::string manifest_text;
    std::uint64_t targets_as_of = 0; ///< The view's change count when targets were set.
    asio::steady_timer watch_timer;
    asio::steady_timer control_timer;
    asio::steady_timer peer_timer;
    asio::steady_timer chores_timer;
    asio::steady_timer stop_timer;
    bool knows_fleet = false;
    bool is_control_due = false;
    bool is_watching = false;
    bool is_stopping = false;
    time_ms stopped_at;
};

} // namespace coriander
