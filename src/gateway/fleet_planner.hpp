#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/formation_plan.hpp"
#include "coriander/replicas/load_plan.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_settings.hpp"
#include "gateway/fleet_view.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// The replicas to form and the loads to start in all domains of a service.
struct fleet_plan {
    formation replicas;
    std::vector<load_assignment> loads; ///< To start now.
    std::set<std::string> held; ///< Replicas that are held (see `fleet_view`), so not counted as existing.
};

/// Plans replicas and loads for the whole fleet, regardless of which daemons own the domains. Daemons with
/// the same view make the same plan, and each executes the part of the domains that it owns. Not thread-safe.
class fleet_planner {
public:
    fleet_planner(const fleet_view& view, controller_settings settings) : view{view}, settings{settings} {}

    /// Sets whether loads of weights are fast and not rate limited, as before the first request.
    void set_cheap_loads(bool are_cheap) { this->are_cheap = are_cheap; }
    [[nodiscard]] bool loads_are_cheap() const noexcept { return this->are_cheap; }

    /// Sets how many replicas each model of a service needs for the current load.
    void set_needed_replicas(const std::string& service, const std::map<std::string, double>& replicas)
    {
        this->needed[service] = replicas;
    }

    /// Preconditions: the service has an engine.
    [[nodiscard]] fleet_plan plan(const relay_service& service, time_ms now);

private:
    [[nodiscard]] formation_input input_of(const relay_service& service, const std::set<std::string>& held,
                                           time_ms now);
    /// Whether replicas may be formed in the domain: more hosts may follow one that has just appeared.
    [[nodiscard]] bool is_settled(const domain_key& key, time_ms now) const;
    /// What a domain offers, as of a value of the view's counter of changes there.
    struct domain_supply {
        std::uint64_t changes = 0;
        domain_capacity capacity;
        std::vector<spare_host> spares;
    };

    /// The domain's supply; computed anew only after a change there.
    [[nodiscard]] const domain_supply& supply_of(const domain_key& key);
    /// How many loads may start in addition to those in progress.
    [[nodiscard]] std::size_t loads_allowed(const relay_service& service, const formation_input& input) const;
    [[nodiscard]] std::vector<load_assignment> due_loads(const relay_service& service,
                                                         const formation_input& input);
    [[nodiscard]] domain_view view_of(const domain_record& record, std::span<const listed_host> hosts) const
    {
        return {&record, hosts, &this->view.silent(), nullptr, nullptr};
    }

    const fleet_view& view;
    controller_settings settings;
    bool are_cheap = false;
    std::map<std::string, std::map<std::string, double>> needed; ///< Replicas by service and model.
    std::map<domain_key, domain_supply> supplies;
    std::map<std::string, std::size_t> existing; ///< Replicas by model, of the service being planned.
};

} // namespace coriander
