#pragma once

#include "core/text.hpp"
#include "coriander/clock.hpp"
#include "coriander/configuration.hpp"
#include "coriander/outage_monitor.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/settings.hpp"
#include "coriander/shard_lease.hpp"
#include "runtime/log.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// The longest time in which an order that was sent can still land.
constexpr time_ms order_limit = 1000_ms;

/// An order is repeated when the host has not obeyed it for so long.
constexpr time_ms order_repeat = 1500_ms;

/// An order to an engine's host.
struct engine_order {
    std::string host;
    std::string address;
    std::string body; ///< JSON.
    std::string summary;
};

/// The order to load `replica` on one of its hosts, or to unload what the host holds.
[[nodiscard]] engine_order load_order(const fleet_host& host, const replica_record& replica,
                                      std::uint64_t fence);
[[nodiscard]] engine_order unload_order(const fleet_host& host, std::uint64_t fence);

/// One controller's work on one shard: holds its lease, changes its replicas, and orders its hosts.
/// Not thread-safe.
template <table_store Table, clock_source Clock>
class shard_manager {
public:
    /// Sends an order; returns at once.
    using send_order = std::function<void(const engine_order&)>;

    shard_manager(std::string shard, std::string self, const settings& values, Table& table,
                 const Clock& clock, send_order send);

    /// Takes or renews the lease. Returns whether the shard is held.
    bool hold();

    /// Does one round of work. Precondition: `hold` returned true in this round.
    void work(const configuration& config, fleet_snapshot& snapshot);

    /// Gives the shard up.
    void release();

    [[nodiscard]] bool is_held() const { return this->lease.remaining() > time_ms{}; }
    [[nodiscard]] const std::string& name() const noexcept { return this->shard; }

    /// When the lease was taken. Hosts not heard of since then are judged from that moment.
    [[nodiscard]] time_ms held_since() const noexcept { return this->since; }

private:
    void look_for_darkness(const fleet_snapshot& snapshot, time_ms now);
    void change_replicas(const configuration& config, const fleet_snapshot& snapshot, time_ms now);
    bool carry_out(const placement_step& step, const configuration& config, const fleet_snapshot& snapshot);
    bool commit(std::vector<table_write> writes, const std::string& what);
    void free_quarantined(const fleet_snapshot& snapshot, time_ms now);
    void order_hosts(const fleet_snapshot& snapshot, time_ms now);
    void order(const fleet_host& host, const replica_record* replica, time_ms now);
    [[nodiscard]] bool may_free(const fleet_host& host, time_ms now);
    [[nodiscard]] bool is_ours(const fleet_host& host) const;

    std::string shard;
    const settings& values;
    const Clock& clock;
    Table& table;
    shard_lease<Table, Clock> lease;
    send_order send;
    outage_monitor darkness;
    bool was_held = false;
    time_ms since;
    time_ms no_hold_before;
    time_ms last_change;
    std::map<std::string, time_ms> ordered_at;
    std::map<std::string, time_ms> empty_since;
};

template <table_store Table, clock_source Clock>
shard_manager<Table, Clock>::shard_manager(std::string shard, std::string self, const settings& values,
                                         Table& table, const Clock& clock, send_order send)
    : shard{std::move(shard)}, values{values}, clock{clock}, table{table},
      lease{table, clock, this->shard, std::move(self), {values.lease_duration, values.lease_duration / 5}},
      send{std::move(send)}, darkness{values.dark_grace}
{
}

template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::hold()
{
    if (this->clock.now() < this->no_hold_before) {
        return false;
    }
    const bool is_held = this->lease.try_hold();
    if (is_held && !this->was_held) {
        this->since = this->clock.now();
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
bool shard_manager<Table, Clock>::is_ours(const fleet_host& host) const
{
    return host.record.kind == host_kind::engine && host.record.fabric_domain == this->shard;
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::work(const configuration& config, fleet_snapshot& snapshot)
{
    const auto now = this->clock.now();
    this->look_for_darkness(snapshot, now);
    if (!this->is_held()) {
        return;
    }
    this->free_quarantined(snapshot, now);
    if (!this->darkness.in_grace_period(now) && now - this->last_change >= this->values.reform_interval) {
        this->change_replicas(config, snapshot, now);
    }
    this->order_hosts(snapshot, now);
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::look_for_darkness(const fleet_snapshot& snapshot, time_ms now)
{
    std::size_t silent = 0;
    std::size_t heard = 0;
    std::size_t total = 0;
    for (const auto& host : snapshot.view.hosts) {
        if (this->is_ours(host)) {
            ++total;
            silent += host.lost ? 1 : 0;
            heard += host.report ? 1 : 0;
        }
    }
    this->darkness.observe(silent, heard, total, now);
    if (this->darkness.just_started(now)) {
        log_event(event::shard_dark, {{"shard", this->shard}, {"silent", silent}, {"hosts", total}});
        // The fault may be on this side: let another controller look.
        this->release();
        this->no_hold_before = now + this->values.lease_duration;
    }
}

template <table_store Table, clock_source Clock>
void shard_manager<Table, Clock>::change_replicas(const configuration& config, const fleet_snapshot& snapshot,
                                                 time_ms now)
{
    for (const auto& step : plan_shard(config, snapshot.view, this->shard)) {
        if (this->carry_out(step, config, snapshot)) {
            // One change a round: the weight store is rate-limited, and the snapshot is out of date now.
            this->last_change = now;
            return;
        }
    }
}

template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::carry_out(const placement_step& step, const configuration& config,
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

/// Commits the writes together with a renewal of the lease: they take effect only under it.
template <table_store Table, clock_source Clock>
bool shard_manager<Table, Clock>::commit(std::vector<table_write> writes, const std::string& what)
{
    if (!this->is_held()) {
        return false;
    }
    writes.push_back(this->lease.renewal());
    const auto sent_at = this->clock.now();
    const auto outcome = this->table.commit(writes);
    this->lease.on_renewal(outcome, sent_at);
    if (outcome.state == commit_state::conflict) {
        log_event(event::placement_lost_race, {{"subject", what}, {"shard", this->shard}});
    }
    else if (outcome.state != commit_state::applied) {
        // Whether it took effect shows in the rows of the next round.
        log_event(event::placement_unknown, {{"subject", what}, {"shard", this->shard}});
    }
    return outcome.state == commit_state::applied;
}

/// A quarantined host is free once it says that it is empty. A target that does not check fencing numbers may
/// still obey an old order that lies in its buffers, so that it must stay empty, and answer, for a while.
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
        const bool is_quarantined = this->is_ours(host) && host.claim && host.claim->replica.empty();
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
        if (!this->is_ours(host) || !host.report) {
            continue;
        }
        const bool is_claimed = host.claim && !host.claim->replica.empty();
        const auto* replica = is_claimed ? snapshot.view.find_replica(host.claim->replica) : nullptr;
        const bool wants_load = replica != nullptr && host.claim->generation == replica->generation &&
                                replica->state != replica_state::empty;
        this->order(host, wants_load ? replica : nullptr, now);
    }
}

/// Orders the host to hold `replica`, or nothing, unless it already does.
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
    if (last != this->ordered_at.end() && now - last->second < order_repeat) {
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
