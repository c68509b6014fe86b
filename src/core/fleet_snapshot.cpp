#include "coriander/fleet_snapshot.hpp"

#include "coriander/drain_row.hpp"

#include <algorithm>
#include <set>

namespace coriander {
namespace {

/// Builds the writes of one step.
class step_writer {
public:
    step_writer(const placement_step& step, const fleet_snapshot& snapshot) : step{step}, snapshot{snapshot}
    {
        const auto* known = snapshot.view.find_replica(step.service + "/" + std::to_string(step.slot));
        if (known != nullptr) {
            this->replica = *known;
        }
        this->replica.service = step.service;
        this->replica.slot = step.slot;
    }

    std::vector<table_write> write(std::string_view shard, const std::string& model)
    {
        const auto before = this->member_hosts();
        switch (this->step.action) {
        case placement_action::drain:
            this->replica.state = replica_state::draining;
            break;
        case placement_action::dissolve:
            this->replica.state = replica_state::empty;
            this->replica.members.clear();
            break;
        case placement_action::form:
        case placement_action::replace:
            this->take_hosts(shard, model);
            break;
        }
        this->put(replica_row_key(this->replica), encode_replica(this->replica));
        if (this->step.action != placement_action::drain) {
            this->write_claims(before);
        }
        return std::move(this->writes);
    }

private:
    [[nodiscard]] std::set<std::string> member_hosts() const
    {
        std::set<std::string> hosts;
        for (const auto& member : this->replica.members) {
            hosts.insert(member.host);
        }
        return hosts;
    }

    void take_hosts(std::string_view shard, const std::string& model)
    {
        ++this->replica.generation;
        this->replica.state = replica_state::serving;
        this->replica.fabric_domain = shard;
        this->replica.model = model;
        this->replica.members.clear();
        for (const auto& id : this->step.hosts) {
            const auto* host = this->snapshot.view.find_host(id);
            const auto incarnation = host->report ? host->report->incarnation : std::string{};
            this->replica.members.push_back({id, host->record.address, incarnation});
        }
    }

    void write_claims(const std::set<std::string>& before)
    {
        const auto after = this->member_hosts();
        for (const auto& host : after) {
            this->put_claim({host, this->replica.id(), this->replica.generation});
        }
        for (const auto& host : before) {
            if (!after.contains(host)) {
                this->put_claim({host, {}, this->replica.generation});
            }
        }
    }

    void put_claim(const host_claim& claim)
    {
        this->put(host_claim_row_key(claim.host), encode_host_claim(claim));
    }

    void put(const std::string& key, std::string value)
    {
        this->writes.push_back({key, this->snapshot.version_of(key), std::move(value)});
    }

    const placement_step& step;
    const fleet_snapshot& snapshot;
    replica_record replica;
    std::vector<table_write> writes;
};

} // namespace

std::uint64_t fleet_snapshot::version_of(const std::string& key) const
{
    const auto found = this->versions.find(key);
    return found == this->versions.end() ? 0 : found->second;
}

fleet_snapshot make_snapshot(std::vector<host_record> hosts, std::span<const table_row> replica_rows,
                             std::span<const table_row> claim_rows, std::span<const table_row> drain_rows)
{
    fleet_snapshot snapshot;
    std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    for (auto& host : hosts) {
        fleet_host one;
        one.record = std::move(host);
        snapshot.view.hosts.push_back(std::move(one));
    }
    const auto host_at = [&](std::string_view key, std::string_view prefix) {
        return snapshot.view.find_host(std::string{key.substr(prefix.size())});
    };
    for (const auto& row : replica_rows) {
        snapshot.versions[row.key] = row.version;
        if (auto replica = decode_replica(row.value)) {
            snapshot.view.replicas.push_back(std::move(*replica));
        }
    }
    for (const auto& row : claim_rows) {
        snapshot.versions[row.key] = row.version;
        if (auto* host = host_at(row.key, host_claim_prefix)) {
            host->claim = decode_host_claim(row.value).value_or(host_claim{host->record.id, "unreadable", 0});
        }
    }
    for (const auto& row : drain_rows) {
        if (auto* host = host_at(row.key, drain_prefix)) {
            host->drained = true;
        }
    }
    return snapshot;
}

std::vector<table_write> writes_for(const placement_step& step, const fleet_snapshot& snapshot,
                                    std::string_view shard, const std::string& model)
{
    return step_writer{step, snapshot}.write(shard, model);
}

table_write host_release_write(const std::string& host, const fleet_snapshot& snapshot)
{
    const auto key = host_claim_row_key(host);
    return {key, snapshot.version_of(key), std::nullopt};
}

} // namespace coriander
