#pragma once

#include "coriander/relay/load_update.hpp"
#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/replica_demand.hpp"
#include "gateway/relay_context.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// What gateways tell each other of the targets' loads and of the demand, so that each decides by what all
/// see together. Used on the loop's thread only.
class load_exchange {
public:
    /// `context` must outlive the exchange.
    explicit load_exchange(relay_context& context) : context{context} {}

    /// Takes in what the daemon with the id `sender` tells.
    void take(std::uint64_t sender, const load_update& news)
    {
        const auto now = this->context.clock.now();
        this->context.demand.on_report(sender, news.demands, now);
        for (auto& [name, state] : this->context.services) {
            for (const auto& one : news.targets) {
                state.board.on_peer_report(one, now);
            }
        }
    }

    /// The newest loads of all services' targets, at most `limit` of each, and the demand measured here.
    [[nodiscard]] load_update known(std::size_t limit) const
    {
        load_update news;
        const auto now = this->context.clock.now();
        for (const auto& [name, state] : this->context.services) {
            const auto reports = state.board.reports(limit, now);
            news.targets.insert(news.targets.end(), reports.begin(), reports.end());
            const auto* service = this->context.routes ? this->context.routes->find_service(name) : nullptr;
            for (const auto& [model, meter] : state.meters) {
                // Callers may name any model; only those that are declared are told.
                if (service != nullptr && (model.empty() || find_model(*service, model) != nullptr)) {
                    news.demands.push_back({model_key(name, model), meter.load(now)});
                }
            }
        }
        std::sort(news.targets.begin(), news.targets.end(),
                  [](const auto& a, const auto& b) { return a.age < b.age; });
        return news;
    }

    /// The replicas that a service's models need by the demand of all daemons; `hosts` are the service's.
    [[nodiscard]] std::map<std::string, double> needed(const std::string& service,
                                                       const engine_profile& engine, std::size_t hosts)
    {
        std::map<std::string, model_load> load;
        for (const auto& [model, meter] : this->context.service(service).meters) {
            load[model] = this->context.fleet_load(service, model, meter);
        }
        return needed_replicas(engine, load, hosts);
    }

private:
    relay_context& context;
};

} // namespace coriander
