#pragma once

#include "coriander/relay/load_update.hpp"
#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/replica_demand.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/standstill_watch.hpp"
#include "gateway/statement_intake.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>

namespace coriander {

/// Shares target loads and demand among the gateways, so that each decides on the load of the whole system.
/// Must be used on the event loop's thread only.
class load_exchange {
public:
    /// `context` must outlive the exchange.
    explicit load_exchange(relay_context& context) : context{context} {}

    /// Sets the receiver of what other daemons know of emptied failure domains.
    void set_emptied_listener(std::function<void(std::span<const emptied_domain_report>)> listener)
    {
        this->emptied_listener = std::move(listener);
    }

    /// Records that the daemon runs. A wait that a message states counts from its receipt, so that messages
    /// which waited while the daemon stood still would start pauses anew, here and at those it passes them on
    /// to.
    void on_activity(time_ms now) { this->activity.on_activity(now); }

    /// Merges the report of the daemon with the id `sender`.
    void merge(std::uint64_t sender, const load_update& update)
    {
        const auto now = this->context.clock.now();
        this->on_activity(now);
        this->context.demand.on_report(sender, update.demands, now);
        this->merge_statements_of(update, now);
        this->emptied_listener(update.emptied);
        for (auto& [name, state] : this->context.services) {
            for (const auto& one : update.targets) {
                state.board.on_peer_report(one, now);
            }
            for (const auto& limit : update.limits) {
                state.board.on_peer_rate_limit(limit, now);
            }
        }
    }

    /// The demand measured by this daemon, and the most recent target loads, newest first and at most `limit`
    /// per service.
    [[nodiscard]] load_update snapshot(std::size_t limit)
    {
        load_update update;
        const auto now = this->context.clock.now();
        this->on_activity(now);
        update.statements = this->context.statements.report(max_statements, now);
        update.emptied = this->context.emptied.reports(now);
        for (const auto& [name, state] : this->context.services) {
            const auto reports = state.board.reports(limit, now);
            update.targets.insert(update.targets.end(), reports.begin(), reports.end());
            const auto limits = state.board.rate_limits(now);
            update.limits.insert(update.limits.end(), limits.begin(), limits.end());
            const auto* service = this->context.routes ? this->context.routes->find_service(name) : nullptr;
            for (const auto& [model, meter] : state.meters) {
                // Callers may name any model; only declared ones are reported.
                if (service != nullptr && (model.empty() || find_model(*service, model) != nullptr)) {
                    update.demands.push_back({model_key(name, model), meter.load(now)});
                }
            }
        }
        std::sort(update.targets.begin(), update.targets.end(),
                  [](const auto& a, const auto& b) { return a.age < b.age; });
        return update;
    }

    /// The number of replicas that each model of a service needs for the demand of all daemons. `hosts` is
    /// the number of the service's hosts.
    [[nodiscard]] std::map<std::string, double>
    replicas_needed(const std::string& service, const engine_profile& engine, std::size_t hosts)
    {
        std::map<std::string, model_traffic> load;
        for (const auto& [model, meter] : this->context.service(service).meters) {
            load[model] = this->context.fleet_load(service, model, meter);
        }
        return needed_replicas(engine, load, hosts);
    }

private:
    void merge_statements_of(const load_update& update, time_ms now)
    {
        if (!this->activity.has_just_resumed(now)) {
            merge_statements(this->context, update.statements);
            return;
        }
        auto lasting = update.statements;
        for (auto& one : lasting) {
            one.pause_left = {};
        }
        merge_statements(this->context, lasting);
    }

    /// Statements of hosts per message, at 16 bytes each.
    static constexpr std::size_t max_statements = 16;

    relay_context& context;
    std::function<void(std::span<const emptied_domain_report>)> emptied_listener = [](auto) {};
    standstill_watch activity;
};

} // namespace coriander
