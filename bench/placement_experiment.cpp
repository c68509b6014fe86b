// Compares placement by a profile's weight with first fit, over one schedule of failures of hosts and
// domains. Prints the two figures that users measure; the same seed gives the same figures.

#include "coriander/fleet_account.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/placement.hpp"

#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

DEFINE_uint64(seed, 1, "seed of the failures");
DEFINE_int32(domains, 12, "fabric domains, two to a failure domain");
DEFINE_int32(hosts, 27, "hosts of a fabric domain");
DEFINE_double(days, 60, "modelled time");

namespace coriander {
namespace {

constexpr double ms_per_hour = 3'600'000.0;
constexpr double host_lifetime_hours = 400.0;
constexpr double repair_hours = 12.0;
constexpr double domain_lifetime_hours = 1500.0;
constexpr double domain_outage_hours = 0.5;
constexpr time_ms load_time = 90_s;   ///< Weights come from the store.
constexpr time_ms reload_time = 20_s; ///< A host that holds the weights already.

enum class event_kind { host_fails, host_returns, domain_dark, domain_back, loaded };

struct fleet_event {
    time_ms at;
    std::uint64_t order = 0;
    event_kind kind = event_kind::host_fails;
    std::string subject;
    std::uint64_t generation = 0;
    bool operator>(const fleet_event& other) const
    {
        return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
};

configuration make_config(double weight)
{
    configuration config;
    for (const auto& [name, size, replicas] :
         {std::tuple{"assistant", 8U, 28U}, std::tuple{"drafting", 3U, 26U}}) {
        profile rules;
        rules.name = name;
        rules.model = "model";
        rules.hosts_per_replica = size;
        rules.downtime_weight = weight;
        config.profiles.push_back(rules);
        config.services.push_back({name, name, replicas});
    }
    return config;
}

/// One run of one policy. The schedule of failures depends on the seed alone.
class experiment {
public:
    experiment(double weight, placement_policy policy)
        : config{make_config(weight)}, policy{policy}, random{FLAGS_seed}
    {
        for (int domain = 0; domain < FLAGS_domains; ++domain) {
            for (int i = 0; i < FLAGS_hosts; ++i) {
                this->add_host(domain, i);
            }
            this->schedule_domain("fabric-" + std::to_string(100 + domain));
        }
    }

    profile_totals run(double& free_share)
    {
        this->settle();
        const time_ms end{static_cast<std::int64_t>(FLAGS_days * 24 * ms_per_hour)};
        while (!this->events.empty() && this->events.top().at < end) {
            const auto one = this->events.top();
            this->events.pop();
            this->now = one.at;
            this->handle(one);
            this->settle();
        }
        this->sample();
        free_share = this->idle_sum / this->healthy_sum;
        profile_totals sum;
        for (const auto& [name, totals] : this->account.totals()) {
            sum.downtime_s += totals.downtime_s;
            sum.stranded_s += totals.stranded_s;
        }
        return sum;
    }

private:
    void add_host(int domain, int number)
    {
        fleet_host host;
        const auto id = "host-" + std::to_string(100 + domain) + "-" + std::to_string(100 + number);
        host.record = {id,
                       id,
                       "fabric-" + std::to_string(100 + domain),
                       "failure-" + std::to_string(domain / 2),
                       "",
                       host_kind::engine,
                       host_state::live};
        host.report = host_report{id, "1", "", 0, 0, false, 0, 0};
        this->snapshot.view.hosts.push_back(host);
        this->push(this->draw(host_lifetime_hours), event_kind::host_fails, id);
    }

    void schedule_domain(const std::string& domain)
    {
        this->push(this->now + this->draw(domain_lifetime_hours), event_kind::domain_dark, domain);
    }

    time_ms draw(double mean_hours)
    {
        return time_ms{static_cast<std::int64_t>(
            std::exponential_distribution<double>{1.0 / mean_hours}(this->random) * ms_per_hour)};
    }

    void push(time_ms at, event_kind kind, const std::string& subject, std::uint64_t generation = 0)
    {
        this->events.push({at, ++this->last_order, kind, subject, generation});
    }

    fleet_host& host_at(const std::string& id) { return *this->snapshot.view.find_host(id); }

    void handle(const fleet_event& one)
    {
        const time_ms hour{static_cast<std::int64_t>(ms_per_hour)};
        switch (one.kind) {
        case event_kind::host_fails:
            this->down.insert(one.subject);
            this->push(this->now + time_ms{static_cast<std::int64_t>(repair_hours * ms_per_hour)},
                       event_kind::host_returns, one.subject);
            break;
        case event_kind::host_returns:
            this->down.erase(one.subject);
            this->restarted(one.subject);
            this->push(this->now + this->draw(host_lifetime_hours), event_kind::host_fails, one.subject);
            break;
        case event_kind::domain_dark:
            this->dark.insert(one.subject);
            this->push(this->now + hour * static_cast<std::int64_t>(2 * domain_outage_hours) / 2,
                       event_kind::domain_back, one.subject);
            break;
        case event_kind::domain_back:
            this->dark.erase(one.subject);
            this->schedule_domain(one.subject);
            break;
        case event_kind::loaded:
            if (const auto* replica = this->snapshot.view.find_replica(one.subject);
                replica != nullptr && replica->generation == one.generation) {
                this->loaded[one.subject] = one.generation;
            }
            break;
        }
    }

    void restarted(const std::string& id)
    {
        auto& host = this->host_at(id);
        host.report = host_report{id, std::to_string(++this->last_order), "", 0, 0, false, 0, 0};
    }

    [[nodiscard]] bool is_up(const fleet_host& host) const
    {
        return !this->down.contains(host.record.id) && !this->dark.contains(host.record.fabric_domain);
    }

    /// Carries out steps until nothing is left to do, then samples. Domains that are dark keep their
    /// replicas.
    void settle()
    {
        this->sample();
        for (auto& host : this->snapshot.view.hosts) {
            host.lost = this->down.contains(host.record.id);
            if (host.lost) {
                host.report.reset();
            }
        }
        for (bool has_changed = true; has_changed;) {
            has_changed = false;
            for (int domain = 0; domain < FLAGS_domains; ++domain) {
                has_changed = this->plan("fabric-" + std::to_string(100 + domain)) || has_changed;
            }
        }
        this->sample();
    }

    bool plan(const std::string& shard)
    {
        if (this->dark.contains(shard)) {
            return false;
        }
        const auto steps = plan_shard(this->config, this->snapshot.view, shard, this->policy);
        if (steps.empty()) {
            return false;
        }
        const auto& step = steps.front();
        const auto id = step.service + "/" + std::to_string(step.slot);
        const auto* before = this->snapshot.view.find_replica(id);
        std::set<std::string> old_hosts;
        if (before != nullptr) {
            for (const auto& member : before->members) {
                old_hosts.insert(member.host);
            }
        }
        this->apply(writes_for(step, this->snapshot, shard, "model"));
        const bool is_reload = step.action == placement_action::replace;
        // A replaced host has to fetch the weights; the others of the replica wait for it.
        const bool has_new = std::any_of(step.hosts.begin(), step.hosts.end(),
                                         [&](const auto& host) { return !old_hosts.contains(host); });
        const auto* replica = this->snapshot.view.find_replica(id);
        this->push(this->now + (is_reload && !has_new ? reload_time : load_time), event_kind::loaded, id,
                   replica->generation);
        return true;
    }

    /// Applies writes as the table and the engines would. Hosts that are given back are free at once.
    void apply(const std::vector<table_write>& writes)
    {
        for (const auto& write : writes) {
            if (const auto replica = decode_replica(*write.value);
                replica && write.key.starts_with(replica_prefix)) {
                this->put(*replica);
                continue;
            }
            const auto claim = decode_host_claim(*write.value);
            auto& host = this->host_at(claim->host);
            host.claim = claim->replica.empty() ? std::nullopt : claim;
            if (host.report) {
                host.report->replica = claim->replica;
                host.report->generation = claim->generation;
            }
        }
    }

    void put(const replica_record& replica)
    {
        for (auto& one : this->snapshot.view.replicas) {
            if (one.id() == replica.id()) {
                one = replica;
                return;
            }
        }
        this->snapshot.view.replicas.push_back(replica);
    }

    void sample()
    {
        std::map<std::string, profile_sample> samples;
        double healthy = 0;
        double serving_hosts = 0;
        for (const auto& service : this->config.services) {
            samples[service.profile].replicas_wanted = service.replicas;
        }
        for (const auto& host : this->snapshot.view.hosts) {
            healthy += this->is_up(host) ? 1 : 0;
        }
        for (const auto& replica : this->snapshot.view.replicas) {
            auto& sample = samples[this->config.find_service(replica.service)->profile];
            std::uint32_t up = 0;
            for (const auto& member : replica.members) {
                up += this->is_up(this->host_at(member.host)) ? 1 : 0;
            }
            const auto loaded_at = this->loaded.find(replica.id());
            const bool serves = !replica.members.empty() && up == replica.members.size() &&
                                loaded_at != this->loaded.end() && loaded_at->second == replica.generation;
            sample.replicas_serving += serves ? 1 : 0;
            serving_hosts += serves ? up : 0;
        }
        // Every healthy host is paid for; one that serves nothing is stranded.
        auto& any = samples.begin()->second;
        any.hosts_held = static_cast<std::uint32_t>(healthy);
        any.hosts_serving = static_cast<std::uint32_t>(serving_hosts);
        for (const auto& [name, sample] : samples) {
            this->account.add(name, sample, this->now);
        }
        const double elapsed = (this->now - this->sampled_at).seconds();
        this->healthy_sum += this->last_healthy * elapsed;
        this->idle_sum += (this->last_healthy - this->last_serving) * elapsed;
        this->last_healthy = healthy;
        this->last_serving = serving_hosts;
        this->sampled_at = this->now;
    }

    configuration config;
    placement_policy policy;
    std::mt19937_64 random;
    fleet_snapshot snapshot;
    std::priority_queue<fleet_event, std::vector<fleet_event>, std::greater<>> events;
    std::set<std::string> down;
    std::set<std::string> dark;
    std::map<std::string, std::uint64_t> loaded;
    fleet_account account;
    time_ms now;
    time_ms sampled_at;
    double healthy_sum = 0.0;
    double idle_sum = 0.0;
    double last_healthy = 0.0;
    double last_serving = 0.0;
    std::uint64_t last_order = 0;
};

void print(const char* name, double weight, placement_policy policy)
{
    double idle = 0.0;
    const auto totals = experiment{weight, policy}.run(idle);
    std::cout << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(1)
              << std::setw(22) << totals.downtime_s / 3600.0 << std::setw(22) << totals.stranded_s / 3600.0
              << std::setw(14) << 100.0 * idle << "\n";
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Compares placement policies over one schedule of failures.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << std::left << std::setw(34) << "policy" << std::right << std::setw(22)
              << "downtime (replica h)" << std::setw(22) << "stranded (host h)" << std::setw(14)
              << "stranded %"
              << "\n";
    using coriander::placement_policy;
    coriander::print("weight 1: avoid downtime", 1.0, placement_policy::weighted);
    coriander::print("weight 0.5", 0.5, placement_policy::weighted);
    coriander::print("weight 0: strand no host", 0.0, placement_policy::weighted);
    coriander::print("first fit", 0.5, placement_policy::first_fit);
    return 0;
}
