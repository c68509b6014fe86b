#pragma once

#include "coriander/clock.hpp"
#include "coriander/message_mac.hpp"
#include "coriander/relay/admission_forecast.hpp"
#include "coriander/relay/answer_trials.hpp"
#include "coriander/relay/crash_quarantine.hpp"
#include "coriander/relay/emptied_domains.hpp"
#include "coriander/relay/fleet_demand.hpp"
#include "coriander/relay/rate_limit.hpp"
#include "coriander/relay/route_table.hpp"
#include "coriander/relay/target_statements.hpp"
#include "gateway/forged_marks.hpp"
#include "gateway/manifest_doubt.hpp"
#include "gateway/path_check.hpp"
#include "gateway/places/place_exchange.hpp"
#include "gateway/relay_dialect.hpp"
#include "gateway/relaying_gateway.hpp"
#include "gateway/service_state.hpp"
#include "net/caller_connection.hpp"
#include "net/channel_pool.hpp"
#include "runtime/metrics.hpp"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

class relay_session;

/// State shared by all requests of a gateway. Must be used on the event loop's thread only.
struct relay_context {
    relay_context(asio::io_context& loop, relay_dialect dialect, std::string failure_domain)
        : loop{loop}, dialect{std::move(dialect)},
          failure_domain{std::move(failure_domain)}, channels{loop}, random{std::random_device{}()}
    {
    }

    asio::io_context& loop;
    relay_dialect dialect;
    std::string failure_domain; ///< Of this daemon.
    monotonic_clock clock;
    metrics counters;
    channel_pool channels;
    std::mt19937 random;
    std::shared_ptr<const route_table> routes; ///< Null until the first manifest has been received.
    manifest_doubt doubt;                      ///< Whether that manifest may be outdated.
    target_statements statements;
    emptied_domains emptied;
    std::map<std::string, service_state> services;
    retry_window_settings retry_settings;
    fleet_demand demand;
    answer_trials trials;
    crash_quarantine quarantine;
    /// Whether this daemon tests whether the quarantine of a fingerprint can end.
    std::function<bool(fingerprint)> may_probe_quarantine = [](fingerprint) { return false; };
    /// Requests a permit for a target with a rate limit. Calls the function once with the decision, possibly
    /// at once.
    std::function<void(const rate_limit&, std::function<void(permit_decision)>)> request_permit =
        [](const rate_limit&, const std::function<void(permit_decision)>& done) {
            done({true, {}});
        };
    /// Whether requests to engine targets need a place, which the targets' keepers grant.
    bool keeps_places = false;
    /// Requests a place. Calls the function once, possibly at once.
    std::function<void(const place_request&, place_exchange::on_decision)> request_place =
        [](const place_request&, const place_exchange::on_decision& done) {
            done(place_outcome::granted, {});
        };
    /// Gives a place back.
    std::function<void(const held_place&, answer_timing)> release_place = [](const held_place&,
                                                                             answer_timing) {};
    /// Called after a change of `statements`, which all targets already reflect.
    std::function<void()> on_statement = [] {};
    /// Called with the host that closed the connection of a running request.
    std::function<void(const std::string&)> on_connection_closed = [](const std::string&) {};
    /// Finds out whether a failure to connect is the target's or that of this daemon's own path.
    path_check check_path = without_path_check();
    /// Whether this daemon has no path to the hosts of the service.
    std::function<bool(const std::string& service)> is_cut = [](const std::string&) { return false; };
    /// The gateways that can take requests from this one while it has no path to a service's hosts.
    std::function<std::vector<relaying_gateway>()> relaying_gateways = [] {
        return std::vector<relaying_gateway>{};
    };
    std::string name;                   ///< Of this daemon.
    mac_key relay_key = draw_mac_key(); ///< For marks of requests that are passed on to this daemon.
    forged_marks forged;
    std::size_t daemons = 1;           ///< Number of daemons that take callers' requests, including this one.
    std::set<relay_session*> sessions; ///< Of all open requests.
    std::size_t buffered_bytes = 0;    ///< Of responses that are forwarded only once complete.
    /// Limit of `buffered_bytes`, by default that of the smallest entry hosts, which have 160 MB of memory.
    std::size_t max_buffered_bytes = 32U << 20U;
    std::size_t relayed_requests = 0; ///< Open requests that other gateways passed on.
    /// Limit of `relayed_requests`: several times what a gateway has open in normal operation.
    static constexpr std::size_t max_relayed_requests = 256;
    /// Limit for a single response.
    static constexpr std::size_t max_response_bytes = 8U << 20U;
    bool has_traffic = false;          ///< A request has been received since the process started.
    bool rejects_new_requests = false; ///< Shutting down: a request accepted now could be cut off.
    std::optional<time_ms> exits_at;   ///< When the process exits at the latest; set once it is stopping.

    [[nodiscard]] std::size_t open_requests() const noexcept { return this->sessions.size(); }

    /// Uniform in [0, 1).
    [[nodiscard]] double draw() { return std::uniform_real_distribution<double>{0.0, 1.0}(this->random); }

    /// The load of a service's model summed over all daemons; `meter` is this daemon's part.
    [[nodiscard]] model_traffic fleet_load(std::string_view service, std::string_view model,
                                           const model_meter& meter)
    {
        const auto now = this->clock.now();
        return this->demand.total(model_key(service, model), meter.load(now), this->daemons, now);
    }

    /// Bounds of callers' connections, by the manifest in force.
    [[nodiscard]] connection_limits connection_bounds() const
    {
        connection_limits bounds;
        if (this->routes) {
            const auto& declared = this->routes->manifest().limits;
            bounds = {declared.max_header_bytes, declared.max_body_bytes, declared.header_timeout,
                      declared.idle_timeout};
        }
        return bounds;
    }

    /// The state of a service, created on first use.
    [[nodiscard]] service_state& service(const std::string& name)
    {
        const auto [entry, is_new] = this->services.try_emplace(name);
        if (is_new) {
            entry->second.retries = retry_window{this->retry_settings};
            entry->second.board.observe(this->statements);
            entry->second.board.observe(this->emptied);
        }
        return entry->second;
    }
};

} // namespace coriander
