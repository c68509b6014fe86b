// Compares weighted placement with first fit over the same schedule of host and domain failures. Prints
// downtime and stranded capacity, the two figures that users measure. Results are reproducible by seed.

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

DEFINE_uint64(seed, 1, "seed of the failure schedule");
DEFINE_int32(domains, 12, "number of fabric domains, two per failure domain");
DEFINE_int32(hosts, 27, "hosts per fabric domain");
DEFINE_double(days, 60, "simulated time in days");

namespace coriander {
namespace {

constexpr double ms_per_hour = 3'600'000.0;
constexpr double host_lifetime_hours = 400.0;
constexpr double repair_hours = 12.0;
constexpr double domain_lifetime_hours = 1500.0;
constexpr double domain_outage_hours = 0.5;
constexpr time_ms load_time = 90_s;   ///< Fetching the weights from the store.
constexpr time_ms reload_time = 20_s; ///< When all hosts already hold the weights.

enum class event_kind { host_fails, host_returns, domain_fails, domain_returns, loaded };

struct fleet_event {
    time_ms at;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::host_fails;
    std::string subject;
    std::uint64_t generation = 0;
    bool operator>(const fleet_event& other) const
    {
        return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
    }
};

configuration make_config(double weight)
{
    configuration config;
    for (const auto& [name, size, replicas] :
         {std::tuple{"assistant", 8U, 28U}, std::tuple{"drafting", 3U, 26U}}) {
        profile profile_settings;
        profile_settings.name = name;
        profile_settings.model = "model";
        profile_settings.hosts_per_replica = size;
        profile_settings.downtime_weight = weight;
        config.profiles.push_back(profile_settings);
        config.services.push_back({name, name, replicas});
    }
    return config;
}

/// Simulates one policy. The failure schedule depends only on the seed.
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

    profile_totals run(double& stranded_share)
    {
        this->plan_until_stable();
        const time_ms end{static_cast<std::int64_t>(FLAGS_days * 24 * ms_per_hour)};
        while (!this->events.empty() && this->events.top().at < end) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
            this->plan_until_stable();
        }
        this->sample();
        stranded_share = this->stranded_host_seconds / this->healthy_host_seconds;
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
        this->push(this->now + this->draw(domain_lifetime_hours), event_kind::domain_fails, domain);
    }

    time_ms draw(double mean_hours)
    {
        return time_ms{static_cast<std::int64_t>(
            std::exponential_distribution<double>{1.0 / mean_hours}(this->random) * ms_per_hour)};
    }

    void push(time_ms at, event_kind kind, const std::string& subject, std::uint64_t generation = 0)
    {
        this->events.push({at, ++this->last_sequence, kind, subject, generation});
    }

    fleet_host& host_at(const std::string& id) { return *this->snapshot.view.find_host(id); }

    void handle(const fleet_event& event)
    {
        const time_ms hour{static_cast<std::int64_t>(ms_per_hour)};
        switch (event.kind) {
        case event_kind::host_fails:
            this->failed_hosts.insert(event.subject);
            this->push(this->now + time_ms{static_cast<std::int64_t>(repair_hours * ms_per_hour)},
                       event_kind::host_returns, event.subject);
            break;
        case event_kind::host_returns:
            this->failed_hosts.erase(event.subject);
            this->reset_report(event.subject);
            this->push(this->now + this->draw(host_lifetime_hours), event_kind::host_fails, event.subject);
            break;
        case event_kind::domain_fails:
            this->failed_domains.insert(event.subject);
            this->push(this->now + hour * static_cast<std::int64_t>(2 * domain_outage_hours) / 2,
                       event_kind::domain_returns, event.subject);
            break;
        case event_kind::domain_returns:
            this->failed_domains.erase(event.subject);
            this->schedule_domain(event.subject);
            break;
        case event_kind::loaded:
            if (const auto* replica = this->snapshot.view.find_replica(event.subject);
                replica != nullptr && replica->generation == event.generation) {
                this->loaded_generations[event.subject] = event.generation;
            }
            break;
        }
    }

    void reset_report(const std::string& id)
    {
        auto& host = this->host_at(id);
        host.report = host_report{id, std::to_string(++this->last_sequence), "", 0, 0, false, 0, 0};
    }

    [[nodiscard]] bool is_up(const fleet_host& host) const
    {
        return !this->failed_hosts.contains(host.record.id) &&
               !this->failed_domains.contains(host.record.fabric_domain);
    }

    /// Applies placement steps until none is left. Failed domains keep their replicas.
    void plan_until_stable()
    {
        this->sample();
        for (auto& host : this->snapshot.view.hosts) {
            host.lost = this->failed_hosts.contains(host.record.id);
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
        if (this->failed_domains.contains(shard)) {
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
        // A newly assigned host has to fetch the weights; the other hosts of the replica wait for it.
        const bool has_new_host = std::any_of(step.hosts.begin(), step.hosts.end(),
                                              [&](const auto& host) { return !old_hosts.contains(host); });
        const auto* replica = this->snapshot.view.find_replica(id);
        this->push(this->now + (is_reload && !has_new_host ? reload_time : load_time), event_kind::loaded, id,
                   replica->generation);
        return true;
    }

    /// Applies writes as the table and the engines would. Released hosts are free immediately.
    void apply(const std::vector<table_write>& writes)
    {
        for (const auto& write : writes) {
            if (const auto replica = decode_replica(*write.value);
                replica && write.key.starts_with(replica_prefix)) {
                this->store_replica(*replica);
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

    void store_replica(const replica_record& replica)
    {
        for (auto& existing : this->snapshot.view.replicas) {
            if (existing.id() == replica.id()) {
                existing = replica;
                return;
            }
        }
        this->snapshot.view.replicas.push_back(replica);
    }

    void sample()
    {
        std::map<std::string, profile_sample> samples;
        double healthy_hosts = 0;
        double serving_hosts = 0;
        for (const auto& service : this->config.services) {
            samples[service.profile].replicas_wanted = service.replicas;
        }
        for (const auto& host : this->snapshot.view.hosts) {
            healthy_hosts += this->is_up(host) ? 1 : 0;
        }
        for (const auto& replica : this->snapshot.view.replicas) {
            auto& sample = samples[this->config.find_service(replica.service)->profile];
            std::uint32_t up = 0;
            for (const auto& member : replica.members) {
                up += this->is_up(this->host_at(member.host)) ? 1 : 0;
            }
            const auto loaded_at = this->loaded_generations.find(replica.id());
            const bool serves = !replica.members.empty() && up == replica.members.size() &&
                                loaded_at != this->loaded_generations.end() &&
                                loaded_at->second == replica.generation;
            sample.replicas_serving += serves ? 1 : 0;
            serving_hosts += serves ? up : 0;
        }
        // Every healthy host costs money, so one that does not serve counts as stranded.
        auto& first_sample = samples.begin()->second;
        first_sample.hosts_held = static_cast<std::uint32_t>(healthy_hosts);
        first_sample.hosts_serving = static_cast<std::uint32_t>(serving_hosts);
        for (const auto& [name, sample] : samples) {
            this->account.add(name, sample, this->now);
        }
        const double elapsed = (this->now - this->sampled_at).seconds();
        this->healthy_host_seconds += this->last_healthy_hosts * elapsed;
        this->stranded_host_seconds += (this->last_healthy_hosts - this->last_serving_hosts) * elapsed;
        this->last_healthy_hosts = healthy_hosts;
        this->last_serving_hosts = serving_hosts;
        this->sampled_at = this->now;
    }

    configuration config;
    placement_policy policy;
    std::mt19937_64 random;
    fleet_snapshot snapshot;
    std::priority_queue<fleet_event, std::vector<fleet_event>, std::greater<>> events;
    std::set<std::string> failed_hosts;
    std::set<std::string> failed_domains;
    std::map<std::string, std::uint64_t> loaded_generations;
    fleet_account account;
    time_ms now;
    time_ms sampled_at;
    double healthy_host_seconds = 0.0;
    double stranded_host_seconds = 0.0;
    double last_healthy_hosts = 0.0;
    double last_serving_hosts = 0.0;
    std::uint64_t last_sequence = 0;
};

void print(const char* name, double weight, placement_policy policy)
{
    double stranded_share = 0.0;
    const auto totals = experiment{weight, policy}.run(stranded_share);
    std::cout << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(1)
              << std::setw(22) << totals.downtime_s / 3600.0 << std::setw(22) << totals.stranded_s / 3600.0
              << std::setw(14) << 100.0 * stranded_share << "\n";
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Compares placement policies over the same schedule of failures.");
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
