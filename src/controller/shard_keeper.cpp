#include "controller/shard_keeper.hpp"

#include "core/json_text.hpp"
#include "runtime/log.hpp"

#include <set>

namespace coriander {
namespace {

/// The longest time in which an order that was sent can still land.
constexpr time_ms order_limit = 1000_ms;

/// An order is repeated when the host has not obeyed it for so long.
constexpr time_ms order_repeat = 1500_ms;

std::string joined(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

std::string load_order(const replica_record& replica, const std::string& host, std::uint64_t fence)
{
    json_object others = json_object::array();
    for (const auto& member : replica.members) {
        if (member.host != host) {
            others.push_back(member.address);
        }
    }
    return to_text({{"order", "load"},
                    {"replica", replica.id()},
                    {"generation", replica.generation},
                    {"model", replica.model},
                    {"leader", replica.members.front().host == host},
                    {"other_members", others},
                    {"fence", fence}});
}

} // namespace

shard_keeper::shard_keeper(std::string shard, std::string self, const settings& values,
                           platform_client& platform, const monotonic_clock& clock, send_order send)
    : shard{std::move(shard)}, values{values}, clock{clock}, platform{platform},
      lease{
          platform, clock, this->shard, std::move(self), {values.lease_duration, values.lease_duration / 5}},
      send{std::move(send)}, darkness{values.dark_grace}
{
}

bool shard_keeper::hold()
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

void shard_keeper::release()
{
    this->lease.release();
    this->was_held = false;
}

bool shard_keeper::is_ours(const fleet_host& host) const
{
    return host.record.kind == host_kind::engine && host.record.fabric_domain == this->shard;
}

void shard_keeper::work(const configuration& config, fleet_snapshot& snapshot)
{
    const auto now = this->clock.now();
    this->look_for_darkness(snapshot, now);
    if (!this->is_held()) {
        return;
    }
    this->free_quarantined(snapshot, now);
    if (!this->darkness.must_wait(now) && now - this->last_change >= this->values.reform_interval) {
        this->change_replicas(config, snapshot, now);
    }
    this->order_hosts(snapshot, now);
}

void shard_keeper::look_for_darkness(const fleet_snapshot& snapshot, time_ms now)
{
    std::size_t silent = 0;
    std::size_t total = 0;
    for (const auto& host : snapshot.view.hosts) {
        if (this->is_ours(host)) {
            ++total;
            silent += host.lost ? 1 : 0;
        }
    }
    this->darkness.observe(silent, total, now);
    if (this->darkness.is_first_look(now)) {
        log_event(event::shard_dark, {{"shard", this->shard}, {"silent", silent}, {"hosts", total}});
        // The fault may be on this side: let another controller look.
        this->release();
        this->no_hold_before = now + this->values.lease_duration;
    }
}

void shard_keeper::change_replicas(const configuration& config, const fleet_snapshot& snapshot, time_ms now)
{
    for (const auto& step : plan_shard(config, snapshot.view, this->shard)) {
        if (this->carry_out(step, config, snapshot)) {
            // One change a round: the weight store is rate-limited, and the snapshot is out of date now.
            this->last_change = now;
            return;
        }
    }
}

bool shard_keeper::carry_out(const placement_step& step, const configuration& config,
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
                                         {"blamed", step.blamed_host},
                                         {"hosts", joined(step.hosts)},
                                         {"fence", this->lease.fence()}});
    return true;
}

/// Commits the writes together with a renewal of the lease: they take effect only under it.
bool shard_keeper::commit(std::vector<table_write> writes, const std::string& what)
{
    if (!this->is_held()) {
        return false;
    }
    writes.push_back(this->lease.renewal());
    const auto sent_at = this->clock.now();
    const auto outcome = this->platform.commit(writes);
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
bool shard_keeper::may_free(const fleet_host& host, time_ms now)
{
    const bool is_empty = host.report && host.report->replica.empty();
    if (!is_empty) {
        this->empty_since.erase(host.record.id);
        return false;
    }
    const auto since_empty = this->empty_since.try_emplace(host.record.id, now).first->second;
    return this->values.targets_check_fence || now - since_empty >= order_limit * 2;
}

void shard_keeper::free_quarantined(const fleet_snapshot& snapshot, time_ms now)
{
    for (const auto& host : snapshot.view.hosts) {
        const bool is_quarantined = this->is_ours(host) && host.claim && host.claim->replica.empty();
        if (!is_quarantined || !this->may_free(host, now)) {
            continue;
        }
        if (this->commit({free_host(host.record.id, snapshot)}, host.record.id)) {
            this->empty_since.erase(host.record.id);
            log_event(event::host_freed, {{"host", host.record.id}, {"shard", this->shard}});
        }
    }
}

void shard_keeper::order_hosts(const fleet_snapshot& snapshot, time_ms now)
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
void shard_keeper::order(const fleet_host& host, const replica_record* replica, time_ms now)
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
    const auto body =
        replica != nullptr
            ? load_order(*replica, host.record.id, fence)
            : to_text({{"order", "unload"}, {"replica", host.report->replica}, {"fence", fence}});
    const auto summary = replica != nullptr ? "load " + wanted : "unload " + host.report->replica;
    this->send({host.record.id, host.record.address, body, summary});
}

} // namespace coriander
