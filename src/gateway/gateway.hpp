#pragma once

#include "gateway/callers/caller_room.hpp"
#include "gateway/crash_response.hpp"
#include "gateway/domains/emptied_domain_watch.hpp"
#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/gateway_peers.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/graceful_stop.hpp"
#include "gateway/kept_request_reports.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/loss_exchange.hpp"
#include "gateway/manifest_source.hpp"
#include "gateway/page_server.hpp"
#include "gateway/path_monitor.hpp"
#include "gateway/permit_exchange.hpp"
#include "gateway/places/place_exchange.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_session.hpp"
#include "gateway/retiring_replicas.hpp"
#include "gateway/silent_host_watch.hpp"
#include "gateway/stall_checks.hpp"
#include "gateway/stall_response.hpp"
#include "net/http_listener.hpp"
#include "runtime/log.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace coriander {

/// The program of one entry host: relays callers' requests to targets, and forms and repairs replicas. `Io`
/// gives access to the platform. Everything runs on one event loop.
template <controller_io Io>
class gateway {
public:
    gateway(asio::io_context& loop, Io& io, gateway_settings values, relay_dialect dialect,
            gateway_pages pages)
        : loop{loop}, io{io}, values{std::move(values)}, relay{loop, std::move(dialect),
                                                               this->values.failure_domain},
          pages{this->relay, this->values, std::move(pages), [this] { return this->is_ready(); },
                [this] { return this->other_addresses(); }},
          control{io, this->fleet, this->values.name}, stalls{io, this->relay, this->fleet,
                                                              [this](auto hosts) {
                                                                  this->on_hosts_lost(hosts);
                                                              }},
          losses{io, this->fleet, [this] { this->refresh(); }}, crashes{io, this->relay, this->fleet,
                                                                        [this](auto hosts) {
                                                                            this->on_hosts_lost(hosts);
                                                                        }},
          silent_hosts{io, this->fleet}, checks{loop,         this->relay,    this->crashes,
                                                this->stalls, this->retiring, this->kept},
          control_timer{loop}, peer_timer{loop}, path_timer{loop}, housekeeping_timer{loop}
    {
        this->relay.retry_settings = this->values.retries;
        this->relay.max_buffered_bytes = this->bounds.buffered_responses;
        this->relay.is_cut = [this](const std::string& service) { return this->paths.is_cut(service); };
        this->relay.name = this->values.name;
        this->relay.relaying_gateways = [this] { return this->peers->relaying(); };
        const path_check check = [this](const listed_host& suspect, on_path_checked done) {
            this->paths.check(suspect, std::move(done));
        };
        this->fleet.observe(this->relay.emptied);
        this->loads.set_emptied_listener([this](auto reports) { this->emptied.merge(reports); });
        this->control.set_path_check(check);
        this->control.set_table_check([this] { return this->io.reaches_table(); });
        this->stalls.set_path_check(check);
        this->losses.set_path_check(check);
        this->crashes.set_path_check(check);
        this->relay.check_path = [this](const listed_host& suspect, on_path_checked done) {
            this->paths.check_recent(suspect, std::move(done));
        };
        this->control.set_progress_listener([this] { this->schedule_control(); });
        this->relay.may_probe_quarantine = [this](fingerprint print) {
            const auto daemons = this->peers->controllers();
            return shard_rank(std::to_string(print), this->values.name, daemons) == 0;
        };
    }

    /// Opens the listeners and starts the periodic work. `others` must outlive the gateway.
    void start(gateway_peers& others)
    {
        this->peers = &others;
        this->peers->set_relay_key(this->relay.relay_key);
        this->peers->set_strong(this->values.is_strong());
        this->peers->set_limits(this->bounds.peers);
        this->pages.set_report_source([this] { return this->peers->reports(); });
        this->peers->set_load_listener(
            [this](std::uint64_t sender, const load_update& news) { this->loads.merge(sender, news); });
        this->peers->set_loss_listener(
            [this](auto hosts) { this->losses.verify(hosts, this->relay.clock.now()); });
        this->peers->set_permit_listener([this](const std::string& sender, const permit_message& message) {
            this->permits.receive(sender, message);
            this->places.receive(sender, message.places);
        });
        this->relay.request_place = [this](const place_request& wanted, place_exchange::on_decision done) {
            this->places.request(wanted, std::move(done));
        };
        this->relay.release_place = [this](const held_place& place, answer_timing timing) {
            this->places.release(place, timing);
        };
        this->stalls.set_delegation([this](const domain_key& key, const std::vector<lost_host>& hosts) {
            return this->ask_controllers(key, hosts);
        });
        this->control.set_report_check(
            [this] { return this->peers->all_understand(peer_feature::kept_request_reports); });
        this->peers->set_kept_listener([this](const kept_requests& report) {
            this->control.on_kept_requests(report, this->relay.clock.now());
        });
        this->peers->set_version_listener([this](std::uint64_t version) {
            const auto now = this->relay.clock.now();
            this->relay.doubt.on_peer_version(version, now);
            if (const auto lag = this->relay.doubt.behind_peers_for(this->manifest_version(), now);
                lag > 0_ms) {
                this->lag_listener(lag);
            }
        });
        this->relay.on_statement = [this] { this->schedule_control(); };
        this->relay.request_permit = [this](const rate_limit& limit, permit_exchange::on_decision done) {
            this->permits.request(limit, std::move(done));
        };
        this->peers->set_crash_source([this] {
            return this->relay.quarantine.newest(gateway_peers::max_first_crashes, this->relay.clock.now());
        });
        this->peers->set_crash_listener([this](const crash_update& news) { this->crashes.merge(news); });
        this->listen(this->values.readiness_address, this->page_handlers());
        if (!this->values.directory_address.empty()) {
            this->listen(this->values.directory_address, this->page_handlers());
        }
        if (!this->values.metrics_address.empty()) {
            this->listen(this->values.metrics_address, this->page_handlers());
        }
        this->listen(this->values.callers_address, this->caller_handlers());
        this->run_control();
        this->run_peers();
        this->run_housekeeping();
    }

    /// Puts a manifest in force if it replaces the current one; see `replaces_manifest`. `skipped` older ones
    /// were received since the last one, and it was received `waited` ago.
    void set_manifest(relay_manifest manifest, const std::string& text, manifest_source source,
                      std::size_t skipped = 0, time_ms waited = {})
    {
        const auto current = this->manifest_version();
        if (!replaces_manifest({manifest.version, text}, source, {current, this->manifest_text})) {
            return;
        }
        log_event(event::config_in_force, {{"version", manifest.version},
                                           {"before", current},
                                           {"routes", manifest.routes.size()},
                                           {"services", manifest.services.size()},
                                           {"customers", manifest.customers.size()},
                                           {"source", name_of(source)},
                                           {"skipped", skipped},
                                           {"waited", waited}});
        this->manifest_text = text;
        this->relay.routes = std::make_shared<const route_table>(std::move(manifest));
        this->refresh();
    }

    /// The known hosts and replicas. Call `refresh` after changing them.
    [[nodiscard]] fleet_view& view() noexcept { return this->fleet; }

    /// Applies what the store says of an emptied failure domain.
    void set_emptied(const emptied_domain_report& report) { this->emptied.apply(report, "store"); }

    /// Starts control. Call it once the host list and the records have been read completely: until then every
    /// host would appear to be gone.
    void start_control() { this->is_fleet_loaded = true; }

    /// Updates the targets after a change of hosts or replicas, and runs control.
    void refresh()
    {
        this->update_targets();
        this->run_control();
    }

    /// The version of the manifest in force, 0 if there is none.
    [[nodiscard]] std::uint64_t manifest_version() const
    {
        return this->relay.routes ? this->relay.routes->manifest().version : 0;
    }

    /// The text of the manifest in force.
    [[nodiscard]] const std::string& manifest_in_force() const noexcept { return this->manifest_text; }

    /// Sets the function that is called, again and again, while peers have a newer manifest, with how long
    /// that has been so. Must be called before `start`.
    void set_manifest_lag_listener(const std::function<void(time_ms)>& listener)
    {
        this->lag_listener = listener;
    }

    /// Notes whether the table of manifests can be reached.
    void note_manifest_table(bool reaches)
    {
        this->relay.doubt.on_table_reach(reaches, this->relay.clock.now());
    }

    /// Notes that a manifest received at `since` waits to be put in force; nothing: none does.
    void note_waiting_manifest(std::optional<time_ms> since) { this->relay.doubt.on_waiting(since); }

    /// Starts a graceful shutdown: the directory stops listing this entry host, requests in flight are
    /// finished, then the event loop stops.
    void stop()
    {
        if (!this->stopping.has_begun()) {
            this->stopping.begin();
            this->run_peers();
        }
    }

private:
    static constexpr time_ms housekeeping_interval{1000};
    /// With fewer gateways, each knows the load of the targets well enough from its own requests.
    static constexpr std::size_t min_daemons_with_places = 32;
    /// Pages take no bodies; a small one is ignored.
    static constexpr std::size_t max_page_body_bytes = 16384;
    /// How often hosts that can't be reached are contacted again.
    static constexpr time_ms path_recheck_interval{200};

    void listen(const std::string& address, connection_handlers handlers)
    {
        auto listener =
            std::make_shared<http_listener>(this->loop, parse_endpoint(address), std::move(handlers));
        listener->start();
        this->listeners.push_back(std::move(listener));
    }

    connection_handlers caller_handlers()
    {
        return {[this](const std::shared_ptr<caller_connection>& caller, incoming_request request) {
                    std::make_shared<relay_session>(this->relay, caller, std::move(request))->start();
                    this->checks.start();
                },
                [this] { return this->relay.connection_bounds(); },
                [this] { return this->stopping.has_begun(); }, this->room.callers()};
    }

    connection_handlers page_handlers()
    {
        return {[this](const std::shared_ptr<caller_connection>& caller, const incoming_request& request) {
                    this->pages.serve(*caller, request);
                },
                [] {
                    connection_limits limits;
                    limits.max_body_bytes = max_page_body_bytes;
                    return limits;
                },
                [this] { return this->stopping.has_begun(); }, this->room.pages()};
    }

    [[nodiscard]] bool is_ready() const
    {
        return this->relay.routes != nullptr && this->is_fleet_loaded && !this->stopping.has_begun();
    }

    [[nodiscard]] std::vector<std::string> other_addresses() const
    {
        std::vector<std::string> addresses;
        for (const auto& other : this->peers->serving()) {
            addresses.push_back(other.http_address);
        }
        return addresses;
    }

    /// Called when the path to the hosts of a service was lost or restored.
    void on_path_changed(const std::string& service)
    {
        this->run_peers();
        if (this->paths.is_cut(service)) {
            this->relay.channels.close_idle();
            this->recheck_paths();
            return;
        }
        this->relay.service(service).board.forget_failures(this->relay.clock.now());
        this->run_control();
    }

    void recheck_paths()
    {
        for (const auto& [name, state] : this->relay.services) {
            if (this->paths.is_cut(name)) {
                this->stalls.abandon_silent_targets(name);
            }
        }
        this->call_after(this->path_timer, path_recheck_interval, [this] {
            if (this->paths.is_cut()) {
                this->paths.recheck();
                this->recheck_paths();
            }
        });
    }

    void update_targets()
    {
        if (!this->relay.routes) {
            return;
        }
        this->targets_change_count = this->fleet.change_count();
        for (const auto& [name, service] : this->relay.routes->manifest().services) {
            this->relay.service(name).board.set_targets(
                this->fleet.targets_of(service, this->relay.clock.now()));
            if (service.engine) {
                this->stalls.abandon_lost_replicas(name);
            }
        }
    }

    /// Logs and counts the targets that get requests with permits only, since their hosts are cold.
    void note_cold_targets()
    {
        for (const auto& [name, state] : this->relay.services) {
            const auto count = state.board.count_cold(this->relay.clock.now());
            if (std::exchange(this->cold_targets[name], count) != count) {
                log_event(event::targets_cold, {{"service", name}, {"targets", count}});
                this->relay.counters.set("coriander_cold_targets", "service=\"" + name + "\"",
                                         static_cast<double>(count));
            }
        }
    }

    /// Called when requests on their replicas showed that `hosts` are lost. Notifies daemons that have no
    /// requests there and so can't detect it.
    void on_hosts_lost(std::span<const std::string> hosts)
    {
        for (const auto& id : hosts) {
            const auto* host = this->fleet.find_host(id);
            if (host != nullptr) {
                this->peers->send_loss(
                    {id, host->incarnation},
                    this->losses.recipients({host->service, host->fabric_domain}, this->values.name));
            }
        }
        this->refresh();
    }

    /// Asks the daemons that act on a domain to probe hosts, if this daemon isn't one that controls replicas.
    /// Returns whether they are to be waited for.
    bool ask_controllers(const domain_key& key, std::span<const lost_host> hosts)
    {
        if (this->peers->is_controller()) {
            return false;
        }
        if (!hosts.empty()) {
            this->peers->send_losses(hosts, this->losses.recipients(key, this->values.name));
        }
        return true;
    }

    /// Reports requests on a dissolving replica to the owner of its domain.
    void send_kept(const std::string& owner, const kept_requests& report)
    {
        if (owner == this->values.name) {
            this->control.on_kept_requests(report, this->relay.clock.now());
            return;
        }
        this->peers->send_kept(report, owner);
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

    /// Runs control after a short delay, once for all host responses that arrive within it.
    void schedule_control()
    {
        if (!std::exchange(this->is_control_due, true)) {
            this->call_after(this->control_timer, control_batch_delay, [this] { this->run_control(); });
        }
    }

    /// Whether this gateway has work in the service's domains: it is one of those that control replicas, or
    /// orders of its own are under way. For the others, planning would only take time from requests.
    [[nodiscard]] bool controls(const std::string& service) const
    {
        return this->peers->is_controller() || this->control.owns_domain_of(service);
    }

    void run_control()
    {
        this->is_control_due = false;
        this->fleet.apply_statements();
        auto delay = control_idle_interval;
        if (this->fleet.change_count() != this->targets_change_count) {
            this->update_targets();
        }
        if (this->relay.routes && this->is_fleet_loaded && !this->stopping.has_begun()) {
            const auto now = this->relay.clock.now();
            this->fleet.expire_reports(now);
            this->control.set_cheap_loads(this->values.is_first_start && !this->relay.has_traffic);
            for (const auto& [name, service] : this->relay.routes->manifest().services) {
                if (service.engine && !this->paths.is_cut(name) && this->controls(name)) {
                    this->control.set_needed_replicas(
                        name,
                        this->loads.replicas_needed(name, *service.engine, this->fleet.host_count(name)));
                    delay = std::min(delay, this->control.tick(service, now));
                }
            }
        }
        this->call_after(this->control_timer, delay, [this] { this->run_control(); });
    }

    void run_peers()
    {
        this->peers->send_round(
            this->manifest_version(), this->manifest_text,
            {this->stopping.has_begun(), this->io.reaches_table(), this->paths.is_cut()},
            this->loads.snapshot(gateway_peers::loads_per_message),
            this->relay.quarantine.next_update(gateway_peers::crashes_per_message, this->relay.clock.now()));
        this->relay.daemons = this->peers->count();
        this->update_place_keeping();
        this->call_after(this->peer_timer, gateway_peers::round_length, [this] { this->run_peers(); });
    }

    /// Places are kept where the settings say so or each gateway sees only a small part of the requests, and
    /// all gateways know how to.
    void update_place_keeping()
    {
        const bool is_wanted =
            this->values.places == place_keeping::on ||
            (this->values.places == place_keeping::by_size && this->relay.daemons >= min_daemons_with_places);
        const bool keeps = is_wanted && this->peers->all_understand(peer_feature::places);
        if (std::exchange(this->relay.keeps_places, keeps) != keeps) {
            log_event(event::places_kept,
                      {{"kept", keeps ? "yes" : "no"}, {"gateways", this->relay.daemons}});
        }
    }

    [[nodiscard]] std::optional<load_report> load_report_of(std::uint64_t target) const
    {
        const auto now = this->relay.clock.now();
        for (const auto& [name, state] : this->relay.services) {
            if (const auto report = state.board.report_of(target, now)) {
                return report;
            }
        }
        return std::nullopt;
    }

    void run_housekeeping()
    {
        this->relay.channels.close_expired();
        this->relay.counters.set("coriander_open_requests", {},
                                 static_cast<double>(this->relay.open_requests()));
        this->emptied.update_metrics();
        this->room.report();
        this->note_cold_targets();
        this->silent_hosts.probe_all(this->relay.clock.now());
        this->call_after(this->housekeeping_timer, housekeeping_interval,
                         [this] { this->run_housekeeping(); });
    }

    static constexpr time_ms control_idle_interval{500};
    /// Long enough for the responses of all hosts of a replica to arrive.
    static constexpr time_ms control_batch_delay{5};

    asio::io_context& loop;
    Io& io;
    gateway_settings values;
    relay_context relay;
    caller_bounds bounds = bounds_of(this->values);
    caller_room room{this->loop, this->bounds, this->relay.counters};
    page_server pages;
    load_exchange loads{this->relay};
    emptied_domain_watch emptied{this->relay, [this] {
                                     this->update_targets();
                                     this->schedule_control();
                                 }};
    fleet_view fleet{this->relay.statements};
    path_monitor<Io> paths{this->io, this->fleet,
                           [this](const std::string& service) { this->on_path_changed(service); }};
    fleet_controller<Io> control;
    stall_response<Io> stalls;
    loss_exchange<Io> losses;
    retiring_replicas retiring{this->relay, this->fleet};
    kept_request_reports kept{this->relay, this->fleet, [this](const auto& owner, const auto& report) {
                                  this->send_kept(owner, report);
                              }};
    crash_response<Io> crashes;
    silent_host_watch<Io> silent_hosts;
    stall_checks<Io> checks;
    gateway_peers* peers = nullptr;
    permit_exchange permits{this->loop,
                            [this](std::uint64_t target) { return this->peers->permit_issuer_of(target); },
                            [this](const std::string& address, const permit_message& message) {
                                this->peers->send_permits(address, message);
                            }};
    place_exchange places{this->loop,
                          [this](std::uint64_t target) { return this->peers->permit_issuer_of(target); },
                          [this](const std::string& address, const place_message& message) {
                              this->peers->send_permits(address, {{}, {}, message});
                          },
                          [this](std::uint64_t target) { return this->load_report_of(target); },
                          [this] { return this->relay.draw(); }};
    graceful_stop::listener_list listeners;
    graceful_stop stopping{this->loop, this->relay, this->values, this->listeners};
    std::string manifest_text;
    std::function<void(time_ms)> lag_listener = [](time_ms) {};
    std::uint64_t targets_change_count = 0; ///< The view's change count when targets were set.
    asio::steady_timer control_timer;
    asio::steady_timer peer_timer;
    asio::steady_timer path_timer;
    asio::steady_timer housekeeping_timer;
    std::map<std::string, std::size_t> cold_targets; ///< By service, as logged last.
    bool is_fleet_loaded = false;
    bool is_control_due = false;
};

} // namespace coriander
