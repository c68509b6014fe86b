#include "gateway/fleet_planner.hpp"

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/replica_demand.hpp"

#include <algorithm>
#include <limits>

namespace coriander {
namespace {

bool is_forming_or_open(const replica_entry& replica)
{
    return replica.phase == replica_phase::forming || replica.phase == replica_phase::open;
}

spare_host spare_of(const listed_host& host, const domain_record& record)
{
    const auto load = std::find_if(record.loads.begin(), record.loads.end(),
                                   [&](const pending_load& one) { return one.host == host.id; });
    const bool is_loading = load != record.loads.end();
    const auto held_model = host.staged.empty() ? std::string{} : host.staged.back();
    return {host.id, is_loading ? load->model : held_model, is_loading};
}

} // namespace

fleet_plan fleet_planner::plan(const relay_service& service, time_ms now)
{
    auto held = this->view.held_replicas(service.name, now);
    auto input = this->input_of(service, held, now);
    auto replicas = plan_formation(input);
    // Waiting domains, where more hosts may appear, are dropped only after planning: daemons that disagree on
    // which domains wait must still make the same plan.
    const auto is_waiting = [&](const std::string& domain) {
        return !this->is_settled({service.name, domain}, now);
    };
    std::erase_if(replicas, [&](const auto& item) { return is_waiting(item.first); });
    std::erase_if(input.domains, [&](const domain_capacity& supply) { return is_waiting(supply.domain); });
    return {std::move(replicas), this->due_loads(service, input), std::move(held)};
}

formation_input fleet_planner::input_of(const relay_service& service, const std::set<std::string>& held,
                                        time_ms now)
{
    this->existing.clear();
    formation_input input;
    input.models = service.engine->models;
    auto& wanted = this->needed[service.name];
    if (wanted.empty()) {
        wanted = needed_replicas(*service.engine, {}, this->view.host_count(service.name));
    }
    input.needed = &wanted;
    input.only_staged = !this->are_cheap;
    for (const auto& key : this->view.domains_of(service.name)) {
        input.may_mix = input.may_mix && this->is_settled(key, now);
        if (this->view.is_emptied(key)) {
            continue; // Its replicas get no requests, and nothing is planned there.
        }
        const auto& record = this->view.domain(key).record;
        for (const auto& replica : record.replicas) {
            // Spare hosts replace a held replica at once, in case its silent host is lost.
            const bool counts = is_forming_or_open(replica) && !held.contains(replica.name);
            this->existing[replica.model] += counts ? 1 : 0;
        }
        input.domains.push_back(this->supply_of(key).capacity);
    }
    input.existing = &this->existing;
    return input;
}

bool fleet_planner::is_settled(const domain_key& key, time_ms now) const
{
    return !this->are_cheap || now - this->view.last_arrival(key) >= this->settings.arrival_quiet_period;
}

const fleet_planner::domain_supply& fleet_planner::supply_of(const domain_key& key)
{
    const auto changes = this->view.change_count(key);
    auto [entry, is_new] = this->supplies.try_emplace(key);
    auto& supply = entry->second;
    if (!is_new && supply.changes == changes) {
        return supply;
    }
    const auto& record = this->view.domain(key).record;
    const auto hosts = this->view.hosts_of(key);
    supply = {
        changes, {key.domain, 0, {}, {}, hosts->empty() ? std::string{} : hosts->front().failure_domain}, {}};
    for (const auto& replica : record.replicas) {
        supply.capacity.running[replica.model] += is_forming_or_open(replica) ? 1 : 0;
    }
    for (const auto* host : free_hosts(this->view_of(record, *hosts))) {
        ++supply.capacity.free;
        for (const auto& model : host->staged) {
            ++supply.capacity.staged[model];
        }
        supply.spares.push_back(spare_of(*host, record));
    }
    return supply;
}

std::size_t fleet_planner::loads_allowed(const relay_service& service, const formation_input& input) const
{
    const std::size_t max_loads = service.engine->max_concurrent_loads;
    if (max_loads == 0 || this->are_cheap) {
        return std::numeric_limits<std::size_t>::max();
    }
    std::size_t under_way = 0;
    for (const auto& supply : input.domains) {
        under_way += this->view.domain({service.name, supply.domain}).record.loads.size();
    }
    return max_loads - std::min(max_loads, under_way);
}

std::vector<load_assignment> fleet_planner::due_loads(const relay_service& service,
                                                      const formation_input& input)
{
    const auto allowed = this->loads_allowed(service, input);
    if (allowed == 0) {
        return {};
    }
    std::vector<domain_spares> domains;
    for (const auto& supply : input.domains) {
        domains.push_back(
            {supply.domain, this->supply_of({service.name, supply.domain}).spares, supply.running});
    }
    auto planned = plan_loads(input, domains);
    planned.resize(std::min(planned.size(), allowed));
    return planned;
}

} // namespace coriander
