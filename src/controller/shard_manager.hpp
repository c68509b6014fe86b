#pragma once

#include "core/text.hpp"
#include "coriander/clock.hpp"
#include "coriander/configuration.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/outage_monitor.hpp"
#include "coriander/settings.hpp"
#include "coriander/shard_lease.hpp"
#include "runtime/log.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Upper bound on the time from sending an order until it takes effect.
constexpr time_ms order_limit = 1000_ms;

/// An order is resent when the host has not carried it out within this time.
constexpr time_ms order_retry_interval = 1500_ms;

/// An order to an engine's host.
struct engine_order {
    std::string host;
    std::string address;
    std::string body; ///< JSON.
    std::string summary;
};

/// The order to load `replica` on `host`, one of its members, or to unload the replica that `host` reports.
[[nodiscard]] engine_order load_order(const fleet_host& host, const replica_record& replica,
                                      std::uint64_t fence);
[[nodiscard]] engine_order unload_order(const fleet_host& host, std::uint64_t fence);

/// Manages one shard on behalf of one controller: holds the lease, forms and changes the replicas, and sends
/// orders to the hosts. Not thread-safe.
template <table_store Table, clock_source Clock>
class shard_manager {
public:
    /// Sends an order without waiting for the result.
    using send_order = std::function<void(const engine_order&)>;

    shard_manager(std::string shard, std::string self, const settings& values, Table& table,
                  const Clock& clock, send_order send);

    /// Acquires or renews the lease. Returns whether the shard is held.
    bool hold();

    /// Runs one round. Precondition: `hold` returned true in this round.
    void work(const configuration& config, fleet_snapshot& snapshot);

    /// Releases the lease.
    void release();

    [[nodiscard]] bool is_held() const { return this->lease.remaining() > time_ms{}; }
    [[nodiscard]] const std::string& name() const noexcept { return this->shard; }

    /// When the lease was acquired. The silence of a host that has not reported since then is counted from
    /// this time.
    [[nodiscard]] time_ms held_since() const noexcept { return this->acquired_at; }

private:
    void detect_outage(const fleet_snapshot& snapshot, time_ms now);
    void apply_placement(const configuration& config, const fleet_snapshot& snapshot, time_ms now);
    bool apply_step(const placement_step& step, const configuration& config, const fleet_snapshot& snapshot);
    bool commit(std::vector<table_write> writes, const std::string& subject);
    void free_quarantined(const fleet_snapshot& snapshot, time_ms now);
    void order_hosts(const fleet_snapshot& snapshot, time_ms now);
    void order(const fleet_host& host, const replica_record* replica, time_ms now);
    [[nodiscard]] bool may_free(const fleet_host& host, time_ms now);
    [[nodiscard]] bool is_in_shard(const fleet_host& host) const;

    std::string shard;
    const settings& values;
    const Clock& clock;
    Table& table;
    shard_lease<Table, Clock> lease;
    send_order send;
    outage_monitor outage;
    bool was_held = false;
    time_ms acquired_at;
    time_ms no_acquire_before;
    time_ms last_change;
    std::map<std::string, time_ms> ordered_at;
    std::map<std::string, time_ms> empty_since;
};

template <table_store Table, clock_source Clock>
shard_manager<Table, Clock>::shard_manager(std::string shard, std::string self, const settings& values,
                                           Table& table, const Clock& clock, send_order send)
    : shard{std::move(shard)}, values{values}, clock{clock}, table{table},
      lease{table, clock, this->shard, std::move(self), {values.lease_duration, values.lease_duration / 5}},
      send{std::move(send)}, outage{values.dark_grace}
{
}

template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::hold()
{
    if (this->clock.now() < this->no_acquire_before) {
        return false;
    }
    const bool is_held = this->lease.try_hold();
    if (is_held && !this->was_held) {
        this->acquired_at = this->clock.now();
        this->empty_since.clear();
        this->ordered_at.clear();
        log_event(event::lease_taken, {{"shard", this->shard}, {"fence", this->lease.fence()}});
    }
    if (!is_held && this->was_held) {
        log_event(event::lease_lost, {{"shard", this->shard}, {"fence", this->lease.fence()}});
    }
    this->was_held = is_held;
    return is_held;
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::release()
{
    this->lease.release();
    this->was_held = false;
}

template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::is_in_shard(const fleet_host& host) const
{
    return host.record.kind == host_kind::engine && host.record.fabric_domain == this->shard;
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::work(const configuration& config, fleet_snapshot& snapshot)
{
    const auto now = this->clock.now();
    this->detect_outage(snapshot, now);
    if (!this->is_held()) {
        return;
    }
    this->free_quarantined(snapshot, now);
    if (!this->outage.must_wait(now) && now - this->last_change >= this->values.reform_interval) {
        this->apply_placement(config, snapshot, now);
    }
    this->order_hosts(snapshot, now);
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::detect_outage(const fleet_snapshot& snapshot, time_ms now)
{
    std::size_t unreachable = 0;
    std::size_t reporting = 0;
    std::size_t total = 0;
    for (const auto& host : snapshot.view.hosts) {
        if (this->is_in_shard(host)) {
            ++total;
            unreachable += host.lost ? 1 : 0;
            reporting += host.report ? 1 : 0;
        }
    }
    this->outage.update(unreachable, reporting, total, now);
    if (this->outage.just_started(now)) {
        log_event(event::shard_dark, {{"shard", this->shard}, {"silent", unreachable}, {"hosts", total}});
        // The fault may be on this side: release the shard so that another controller can check.
        this->release();
        this->no_acquire_before = now + this->values.lease_duration;
    }
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::apply_placement(const configuration& config, const fleet_snapshot& snapshot,
                                                  time_ms now)
{
    for (const auto& step : plan_shard(config, snapshot.view, this->shard)) {
        if (this->apply_step(step, config, snapshot)) {
            // One change per round: the weight store is rate-limited, and the snapshot is now stale.
            this->last_change = now;
            return;
        }
    }
}

template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::apply_step(const placement_step& step, const configuration& config,
                                             const fleet_snapshot& snapshot)
{
    const auto* rules = config.profile_of(step.service);
    const auto model = rules != nullptr ? rules->model : std::string{};
    const auto replica = step.service + "/" + std::to_string(step.slot);
    if (!this->commit(writes_for(step, snapshot, this->shard, model), replica)) {
        return false;
    }
    log_event(event::placement_decided, {{"replica", replica},
                                         {"action", name_of(step.action)},
                                         {"reason", name_of(step.reason)},
                                         {"shard", this->shard},
                                         {"blamed", step.causing_host},
                                         {"hosts", joined(step.hosts, ",")},
                                         {"fence", this->lease.fence()}});
    return true;
}

/// Commits the writes in one transaction with a renewal of the lease, so that they take effect only while it
/// is held.
template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::commit(std::vector<table_write> writes, const std::string& subject)
{
    if (!this->is_held()) {
        return false;
    }
    writes.push_back(this->lease.renewal());
    const auto sent_at = this->clock.now();
    const auto outcome = this->table.commit(writes);
    this->lease.on_renewal(outcome, sent_at);
    if (outcome.state == commit_state::conflict) {
        log_event(event::placement_lost_race, {{"subject", subject}, {"shard", this->shard}});
    }
    else if (outcome.state != commit_state::applied) {
        // The rows read in the next round show whether it took effect.
        log_event(event::placement_unknown, {{"subject", subject}, {"shard", this->shard}});
    }
    return outcome.state == commit_state::applied;
}

/// A quarantined host may be freed once it reports that it holds no replica. A target that does not check
/// fencing numbers may still carry out an old order that is in flight, so it must keep reporting this for
/// twice `order_limit`.
template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::may_free(const fleet_host& host, time_ms now)
{
    const bool is_empty = host.report && host.report->replica.empty();
    if (!is_empty) {
        this->empty_since.erase(host.record.id);
        return false;
    }
    const auto since_empty = this->empty_since.try_emplace(host.record.id, now).first->second;
    return this->values.targets_check_fence || now - since_empty >= order_limit * 2;
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::free_quarantined(const fleet_snapshot& snapshot, time_ms now)
{
    for (const auto& host : snapshot.view.hosts) {
        const bool is_quarantined = this->is_in_shard(host) && host.claim && host.claim->replica.empty();
        if (!is_quarantined || !this->may_free(host, now)) {
            continue;
        }
        if (this->commit({host_release_write(host.record.id, snapshot)}, host.record.id)) {
            this->empty_since.erase(host.record.id);
            log_event(event::host_freed, {{"host", host.record.id}, {"shard", this->shard}});
        }
    }
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::order_hosts(const fleet_snapshot& snapshot, time_ms now)
{
    for (const auto& host : snapshot.view.hosts) {
        if (!this->is_in_shard(host) || !host.report) {
            continue;
        }
        const bool is_claimed = host.claim && !host.claim->replica.empty();
        const auto* replica = is_claimed ? snapshot.view.find_replica(host.claim->replica) : nullptr;
        const bool wants_load = replica != nullptr && host.claim->generation == replica->generation &&
                                replica->state != replica_state::empty;
        this->order(host, wants_load ? replica : nullptr, now);
    }
}

/// Orders the host to load `replica`, or to unload when `replica` is null, unless it is in that state
/// already.
template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::order(const fleet_host& host, const replica_record* replica, time_ms now)
{
    const auto wanted = replica != nullptr ? replica->id() : std::string{};
    const std::uint64_t generation = replica != nullptr ? replica->generation : 0;
    if (host.report->replica == wanted && (wanted.empty() || host.report->generation == generation)) {
        this->ordered_at.erase(host.record.id);
        return;
    }
    const auto last = this->ordered_at.find(host.record.id);
    if (last != this->ordered_at.end() && now - last->second < order_retry_interval) {
        return;
    }
    if (!this->lease.may_order(order_limit)) {
        return;
    }
    this->ordered_at[host.record.id] = now;
    const auto fence = this->lease.fence();
    this->send(replica != nullptr ? load_order(host, *replica, fence) : unload_order(host, fence));
}

} // namespace coriander
