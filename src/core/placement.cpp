#include "coriander/placement.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace coriander {
namespace {

/// Cost of leaving a domain without a spare host, in units of the service's concentration.
constexpr double no_spare_cost = 0.5;

/// Free hosts of each fabric domain, ordered by id.
using free_hosts_by_domain = std::map<std::string, std::vector<const fleet_host*>>;

free_hosts_by_domain find_free_hosts(const fleet& fleet)
{
    free_hosts_by_domain free;
    for (const auto& host : fleet.hosts) {
        if (host.is_free()) {
            free[host.record.fabric_domain].push_back(&host);
        }
    }
    return free;
}

const fleet_host* first_lost(const replica_record& replica, const fleet& fleet)
{
    for (const auto& member : replica.members) {
        const auto* host = fleet.find_host(member.host);
        const bool has_restarted =
            host != nullptr && host->report && host->report->incarnation != member.incarnation;
        if (host != nullptr && (host->lost || has_restarted)) {
            return host;
        }
    }
    return nullptr;
}

/// Id of the first host that is missing from the host list, which counts as lost; empty if there is none.
std::string first_unlisted(const replica_record& replica, const fleet& fleet)
{
    for (const auto& member : replica.members) {
        if (fleet.find_host(member.host) == nullptr) {
            return member.host;
        }
    }
    return {};
}

const fleet_host* first_leaving(const replica_record& replica, const fleet& fleet)
{
    for (const auto& member : replica.members) {
        const auto* host = fleet.find_host(member.host);
        if (host != nullptr && !host->is_staying()) {
            return host;
        }
    }
    return nullptr;
}

/// Whether the leader reports no running or queued requests.
bool is_idle(const replica_record& replica, const fleet& fleet)
{
    const auto* leader = fleet.find_host(replica.members.front().host);
    return leader != nullptr && leader->report && leader->report->running + leader->report->queued == 0;
}

/// Plans the steps of one shard.
class shard_plan {
public:
    shard_plan(const configuration& config, const fleet& view, std::string_view shard,
               placement_policy policy)
        : config{config}, view{view}, shard{shard}, policy{policy}, free{find_free_hosts(view)}
    {
    }

    std::vector<placement_step> plan()
    {
        for (const auto& replica : this->view.replicas) {
            if (replica.fabric_domain == this->shard && !replica.members.empty()) {
                this->plan_replica(replica);
            }
        }
        this->fill_empty_slots();
        return std::move(this->steps);
    }

private:
    void add(placement_action action, placement_reason reason, const replica_record& replica,
             std::string causing_host = {}, std::vector<std::string> hosts = {})
    {
        this->steps.push_back(
            {action, reason, replica.service, replica.slot, std::move(causing_host), std::move(hosts)});
    }

    void plan_replica(const replica_record& replica)
    {
        const auto* rules = this->config.profile_of(replica.service);
        const auto* service = this->config.find_service(replica.service);
        if (rules == nullptr || rules->kind != profile_kind::model || replica.slot >= service->replicas) {
            this->retire(replica, placement_reason::not_wanted);
            return;
        }
        const bool has_changed =
            rules->model != replica.model || rules->hosts_per_replica != replica.members.size();
        if (has_changed) {
            this->retire(replica, placement_reason::profile_changed);
            return;
        }
        const auto* lost = first_lost(replica, this->view);
        const auto unlisted = first_unlisted(replica, this->view);
        if (lost != nullptr || !unlisted.empty()) {
            this->replace_lost_host(replica, lost != nullptr ? lost->record.id : unlisted);
            return;
        }
        if (const auto* leaving = first_leaving(replica, this->view)) {
            this->replace_leaving_host(replica, *leaving);
            return;
        }
        if (replica.state == replica_state::draining && !this->has_unconfirmed_host(replica)) {
            // The cause of the drain no longer exists: put the replica back into service with the same hosts.
            this->add(placement_action::replace, placement_reason::place_empty, replica, {},
                      hosts_of(replica));
        }
    }

    static std::vector<std::string> hosts_of(const replica_record& replica)
    {
        std::vector<std::string> hosts;
        for (const auto& member : replica.members) {
            hosts.push_back(member.host);
        }
        return hosts;
    }

    /// Drains the replica and dissolves it once idle. Dissolves it immediately if it lost a host.
    void retire(const replica_record& replica, placement_reason reason)
    {
        if (first_lost(replica, this->view) != nullptr || is_idle_after_drain(replica)) {
            this->add(placement_action::dissolve, reason, replica);
        }
        else if (replica.state == replica_state::serving) {
            this->add(placement_action::drain, reason, replica);
        }
    }

    [[nodiscard]] bool is_idle_after_drain(const replica_record& replica) const
    {
        return replica.state == replica_state::draining && is_idle(replica, this->view);
    }

    /// The healthy hosts of the replica, filled up with free hosts of the same domain. Empty if there are too
    /// few.
    std::vector<std::string> hosts_with_replacements(const replica_record& replica)
    {
        std::vector<std::string> hosts;
        for (const auto& member : replica.members) {
            const auto* host = this->view.find_host(member.host);
            if (host != nullptr && !host->lost && host->is_staying()) {
                hosts.push_back(member.host);
            }
        }
        auto& spare = this->free[replica.fabric_domain];
        const auto missing = replica.members.size() - hosts.size();
        if (spare.size() < missing) {
            return {};
        }
        for (std::size_t i = 0; i < missing; ++i) {
            hosts.push_back(spare[i]->record.id);
        }
        spare.erase(spare.begin(), spare.begin() + static_cast<std::ptrdiff_t>(missing));
        return hosts;
    }

    /// Whether a host is unresponsive, but not for long enough to be lost. Its incarnation is unknown.
    [[nodiscard]] bool has_unconfirmed_host(const replica_record& replica) const
    {
        return std::any_of(replica.members.begin(), replica.members.end(), [this](const auto& member) {
            const auto* host = this->view.find_host(member.host);
            return host != nullptr && !host->lost && !host->report;
        });
    }

    void replace_lost_host(const replica_record& replica, const std::string& causing_host)
    {
        if (this->has_unconfirmed_host(replica)) {
            return; // The host will soon report or count as lost.
        }
        auto hosts = this->hosts_with_replacements(replica);
        if (hosts.empty()) {
            this->add(placement_action::dissolve, placement_reason::no_spare, replica, causing_host);
            return;
        }
        this->add(placement_action::replace, placement_reason::host_lost, replica, causing_host,
                  std::move(hosts));
    }

    void replace_leaving_host(const replica_record& replica, const fleet_host& leaving)
    {
        if (replica.state == replica_state::serving) {
            this->add(placement_action::drain, placement_reason::host_leaving, replica, leaving.record.id);
            return;
        }
        if (!is_idle(replica, this->view)) {
            return;
        }
        if (this->has_unconfirmed_host(replica)) {
            return;
        }
        auto hosts = this->hosts_with_replacements(replica);
        if (hosts.empty()) {
            this->add(placement_action::dissolve, placement_reason::host_leaving, replica, leaving.record.id);
            return;
        }
        this->add(placement_action::replace, placement_reason::host_leaving, replica, leaving.record.id,
                  std::move(hosts));
    }

    /// The model services. The weighted policy orders them by replica size, largest first: small replicas fit
    /// into the hosts that large ones leave over, but not the reverse.
    std::vector<const service_rule*> services_in_order() const
    {
        std::vector<const service_rule*> services;
        for (const auto& service : this->config.services) {
            const auto* rules = this->config.find_profile(service.profile);
            if (rules != nullptr && rules->kind == profile_kind::model) {
                services.push_back(&service);
            }
        }
        if (this->policy == placement_policy::weighted) {
            std::stable_sort(services.begin(), services.end(), [this](const auto* a, const auto* b) {
                return this->config.find_profile(a->profile)->hosts_per_replica >
                       this->config.find_profile(b->profile)->hosts_per_replica;
            });
        }
        return services;
    }

    /// Assigns every empty slot to a domain; only the steps for this shard are kept.
    void fill_empty_slots()
    {
        for (const auto* service : this->services_in_order()) {
            const auto& rules = *this->config.find_profile(service->profile);
            for (std::uint32_t slot = 0; slot < service->replicas; ++slot) {
                if (!this->is_taken(service->name, slot)) {
                    this->fill(service->name, slot, rules);
                }
            }
        }
    }

    [[nodiscard]] bool is_taken(const std::string& service, std::uint32_t slot)
    {
        if (!this->has_indexed) {
            for (const auto& replica : this->view.replicas) {
                if (!replica.members.empty()) {
                    this->taken.insert(replica.id());
                    ++this->replicas_in[{replica.service, this->failure_domain_of(replica)}];
                }
            }
            this->has_indexed = true;
        }
        return this->taken.contains(service + "/" + std::to_string(slot));
    }

    [[nodiscard]] std::string failure_domain_of(const replica_record& replica) const
    {
        const auto* host = this->view.find_host(replica.members.front().host);
        return host != nullptr ? host->record.failure_domain : std::string{};
    }

    void fill(const std::string& service, std::uint32_t slot, const profile& rules)
    {
        const auto* domain = this->choose_domain(service, rules);
        if (domain == nullptr) {
            return;
        }
        auto& hosts = this->free[*domain];
        replica_record replica;
        replica.service = service;
        replica.slot = slot;
        std::vector<std::string> chosen;
        for (std::size_t i = 0; i < rules.hosts_per_replica; ++i) {
            chosen.push_back(hosts[i]->record.id);
        }
        ++this->replicas_in[{service, hosts.front()->record.failure_domain}];
        const bool is_own = *domain == this->shard;
        hosts.erase(hosts.begin(), hosts.begin() + rules.hosts_per_replica);
        if (is_own) {
            this->add(placement_action::form, placement_reason::place_empty, replica, {}, std::move(chosen));
        }
    }

    const std::string* choose_domain(const std::string& service, const profile& rules)
    {
        const std::string* best = nullptr;
        double best_cost = 0.0;
        const bool is_weighted = this->policy == placement_policy::weighted;
        for (const auto& [domain, hosts] : this->free) {
            if (hosts.size() < rules.hosts_per_replica) {
                continue;
            }
            if (!is_weighted) {
                return &domain;
            }
            const double cost = this->cost_of(service, rules, hosts);
            if (best == nullptr || cost < best_cost) {
                best = &domain;
                best_cost = cost;
            }
        }
        return best;
    }

    /// The downtime cost is the fraction of the service that a failure of the failure domain would take down,
    /// plus `no_spare_cost` if a lost host could not be replaced within the fabric domain. The stranding cost
    /// is the fraction of the domain's free hosts that stays free, so that domains are filled one by one and
    /// empty ones remain for large replicas.
    double cost_of(const std::string& service, const profile& rules,
                   const std::vector<const fleet_host*>& hosts)
    {
        const auto& failure_domain = hosts.front()->record.failure_domain;
        const auto* wanted = this->config.find_service(service);
        const double present = this->replicas_in[{service, failure_domain}];
        const double concentration = present / std::max<std::uint32_t>(1, wanted->replicas);
        const auto left = hosts.size() - rules.hosts_per_replica;
        const double without_spare = left == 0 ? no_spare_cost : 0.0;
        const double stranded = static_cast<double>(left) / static_cast<double>(hosts.size());
        return rules.downtime_weight * (concentration + without_spare) +
               (1.0 - rules.downtime_weight) * stranded;
    }

    struct service_in_domain {
        std::string service;
        std::string failure_domain;
        auto operator<=>(const service_in_domain&) const = default;
    };

    const configuration& config;
    const fleet& view;
    std::string shard;
    placement_policy policy;
    free_hosts_by_domain free;
    std::vector<placement_step> steps;
    bool has_indexed = false;
    std::set<std::string> taken;
    std::map<service_in_domain, double> replicas_in;
};

} // namespace

const char* name_of(placement_action action) noexcept
{
    switch (action) {
    case placement_action::form:
        return "form";
    case placement_action::replace:
        return "replace";
    case placement_action::drain:
        return "drain";
    case placement_action::dissolve:
        return "dissolve";
    }
    return "unknown";
}

const char* name_of(placement_reason reason) noexcept
{
    switch (reason) {
    case placement_reason::place_empty:
        return "place_empty";
    case placement_reason::host_lost:
        return "host_lost";
    case placement_reason::host_leaving:
        return "host_leaving";
    case placement_reason::not_wanted:
        return "not_wanted";
    case placement_reason::profile_changed:
        return "profile_changed";
    case placement_reason::no_spare:
        return "no_spare";
    }
    return "unknown";
}

std::vector<placement_step> plan_shard(const configuration& config, const fleet& fleet,
                                       std::string_view shard, placement_policy policy)
{
    return shard_plan{config, fleet, shard, policy}.plan();
}

} // namespace coriander
