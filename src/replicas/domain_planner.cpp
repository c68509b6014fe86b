#include "coriander/replicas/domain_planner.hpp"

#include "coriander/replicas/leave_decision.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace coriander {
namespace {

/// The member's host if it is listed, responsive and has not restarted since the replica was formed;
/// otherwise null.
const listed_host* reachable_host(const domain_view& view, const replica_host& member)
{
    const auto* host = view.find_host(member.id);
    const bool is_present = host != nullptr && host->incarnation == member.incarnation && !member.is_lost &&
                            !view.is_unresponsive(member.id, member.incarnation);
    return is_present ? host : nullptr;
}

/// Marks hosts that are unresponsive or have restarted as lost. A host that is merely missing from the list
/// is not lost: it keeps serving for a while after its entry was removed. Returns the reason for the first
/// host newly marked, if any.
std::optional<domain_reason> mark_lost(replica_entry& replica, const domain_view& view)
{
    std::optional<domain_reason> reason;
    for (auto& member : replica.hosts) {
        const auto* host = view.find_host(member.id);
        const bool is_silent =
            view.is_unresponsive(member.id, member.incarnation) && !view.is_awaited(replica, member);
        const bool is_unavailable = is_silent || (host != nullptr && host->incarnation != member.incarnation);
        if (!member.is_lost && is_unavailable) {
            member.is_lost = true;
            if (!reason) {
                reason = domain_reason{
                    replica.name + ": host " + member.id + " is unresponsive or has restarted", member.id};
            }
        }
    }
    return reason;
}

/// Whether nothing but a silence that is too long for a sound host speaks against the replica's lost hosts.
bool rests_on_old_silence(const replica_entry& replica, const domain_view& view)
{
    return std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const replica_host& member) {
        if (!member.is_lost) {
            return true;
        }
        const auto* host = view.find_host(member.id);
        const bool is_same = host != nullptr && host->incarnation == member.incarnation;
        return is_same && view.is_unresponsive(member.id, member.incarnation) &&
               !view.silent->at(member.id).has_ended && !view.silent->at(member.id).may_be_sound(view.now);
    });
}

/// Why an open replica is no longer usable; empty if it is usable. Hosts for which only the host list shows a
/// fault are added to `unconfirmed_hosts` instead.
std::optional<domain_reason> open_replica_fault(const replica_entry& replica, const domain_view& view,
                                                std::vector<std::string>& unconfirmed_hosts)
{
    for (const auto& member : replica.hosts) {
        const auto* host = reachable_host(view, member);
        if (host == nullptr) {
            continue; // It is missing from the list, so its state is unknown.
        }
        const bool is_broken = has_part(*host, replica) && host->part->phase == host_phase::broken;
        if ((is_broken || !has_part(*host, replica)) && !host->is_self_reported) {
            unconfirmed_hosts.push_back(member.id);
            continue;
        }
        if (!has_part(*host, replica)) {
            return domain_reason{replica.name + ": host " + member.id + " left the replica", member.id};
        }
        if (is_broken) {
            return domain_reason{replica.name + ": host " + member.id + " reports a broken replica",
                                 member.id};
        }
    }
    return std::nullopt;
}

/// Whether a host will stop, because it is marked as leaving or is no longer listed.
/// Precondition: no host is lost.
bool has_leaving_host(const replica_entry& replica, const domain_view& view)
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(), [&](const replica_host& member) {
        const auto* host = reachable_host(view, member);
        return host == nullptr || host->is_leaving;
    });
}

/// Whether every host has loaded its part. If so, sets `leader` to the leader's phase.
bool all_ready(const replica_entry& replica, const domain_view& view, host_phase& leader)
{
    for (const auto& member : replica.hosts) {
        const auto* host = reachable_host(view, member);
        const bool is_ready =
            host != nullptr && has_part(*host, replica) &&
            (host->part->phase == host_phase::ready || host->part->phase == host_phase::open);
        if (!is_ready) {
            return false;
        }
        if (&member == &replica.hosts.front()) {
            leader = host->part->phase;
        }
    }
    return true;
}

/// Orders hosts that are not in the replica yet to join it, or to leave the replica that they are in first.
void order_joins(const replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    std::vector<std::string> ids;
    for (const auto& member : replica.hosts) {
        ids.push_back(member.id);
    }
    for (const auto& member : replica.hosts) {
        const auto* host = reachable_host(view, member);
        if (host != nullptr && host->part && !has_part(*host, replica)) {
            decision.orders.push_back(
                {order_kind::leave, member.id, host->part->replica, host->part->generation, {}, {}});
        }
        else if (host != nullptr && !host->part) {
            decision.orders.push_back(
                {order_kind::join, member.id, replica.name, replica.generation, replica.model, ids});
        }
    }
}

/// Whether a replica of the domain has lost a host or will lose one. Its remaining hosts and a spare host
/// then form a new replica.
bool has_replica_to_replace(const domain_record& record)
{
    return std::any_of(record.replicas.begin(), record.replicas.end(), [](const replica_entry& one) {
        const bool has_loss = std::any_of(one.hosts.begin(), one.hosts.end(),
                                          [](const replica_host& member) { return member.is_lost; });
        return one.phase == replica_phase::retiring || (one.phase == replica_phase::dissolving && has_loss);
    });
}

void plan_warming(replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    host_phase leader = host_phase::joining;
    const bool has_ended = has_leaving_host(replica, view) || view.finished->contains(replica.name) ||
                           has_replica_to_replace(*view.record);
    if (!has_ended && !all_ready(replica, view, leader)) {
        order_joins(replica, view, decision);
        return;
    }
    replica.phase = replica_phase::dissolving;
    decision.reasons.push_back({replica.name + (has_ended ? ": warming cancelled" : ": warming complete")});
}

void plan_forming(replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    host_phase leader = host_phase::joining;
    if (has_leaving_host(replica, view) || view.finished->contains(replica.name)) {
        replica.phase = replica_phase::dissolving;
        decision.reasons.push_back({replica.name + ": forming failed, a host is leaving or it timed out"});
    }
    else if (!all_ready(replica, view, leader)) {
        order_joins(replica, view, decision);
    }
    else if (leader == host_phase::open) {
        replica.phase = replica_phase::open;
        decision.reasons.push_back({replica.name + " is open"});
    }
    else {
        decision.orders.push_back({order_kind::open,
                                   replica.hosts.front().id,
                                   replica.name,
                                   replica.generation,
                                   replica.model,
                                   {}});
    }
}

/// Lists the silent hosts of a replica that is held as hosts to query. Returns whether there are any.
bool plan_held(const replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    bool is_held = false;
    for (const auto& member : replica.hosts) {
        if (view.is_awaited(replica, member)) {
            decision.unconfirmed_hosts.push_back(member.id);
            is_held = true;
        }
    }
    if (is_held) {
        decision.held_replicas.push_back(replica.name);
    }
    return is_held;
}

void plan_open(replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    const auto fault = open_replica_fault(replica, view, decision.unconfirmed_hosts);
    if (fault) {
        replica.phase = replica_phase::dissolving;
        decision.reasons.push_back(*fault);
    }
    else if (replica.phase == replica_phase::open && has_leaving_host(replica, view)) {
        replica.phase = replica_phase::retiring;
        decision.reasons.push_back({replica.name + ": a host is leaving"});
    }
    else if (replica.phase == replica_phase::retiring && view.finished->contains(replica.name)) {
        replica.phase = replica_phase::dissolving;
        decision.reasons.push_back({replica.name + ": requests have ended or timed out"});
    }
}

/// Whether all hosts have left the replica. Orders the remaining ones to leave once its requests have ended
/// or cannot go on.
bool plan_dissolving(const replica_entry& replica, const domain_view& view, domain_decision& decision)
{
    bool is_empty = true;
    const bool must_wait = may_serve_on(replica, view);
    for (const auto& member : replica.hosts) {
        const auto* host = reachable_host(view, member);
        if (host != nullptr && has_part(*host, replica)) {
            is_empty = false;
            if (!must_wait) {
                decision.orders.push_back(
                    {order_kind::leave, member.id, replica.name, replica.generation, {}, {}});
            }
        }
    }
    if (must_wait && !is_empty) {
        decision.waiting_replicas.push_back(replica.name);
    }
    return is_empty;
}

/// Ids of all members of the record's replicas, sorted.
std::vector<std::string_view> member_ids(const domain_record& record)
{
    std::vector<std::string_view> ids;
    for (const auto& replica : record.replicas) {
        for (const auto& member : replica.hosts) {
            ids.push_back(member.id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool contains(const std::vector<std::string_view>& sorted_ids, const std::string& id)
{
    return std::binary_search(sorted_ids.begin(), sorted_ids.end(), std::string_view{id});
}

/// Orders hosts to leave replicas that are not in the record.
void release_unrecorded_hosts(const domain_view& view, domain_decision& decision)
{
    const auto members = member_ids(*view.record);
    for (const auto& host : view.hosts) {
        if (host.part && !host.is_leaving && !view.is_unresponsive(host.id, host.incarnation) &&
            !contains(members, host.id)) {
            decision.orders.push_back(
                {order_kind::leave, host.id, host.part->replica, host.part->generation, {}, {}});
        }
    }
}

bool is_staged(const listed_host& host, const std::string& model)
{
    return std::find(host.staged.begin(), host.staged.end(), model) != host.staged.end();
}

/// Removes loads that have ended or whose host is no longer available for them, and orders the others.
void plan_pending_loads(const domain_view& view, domain_decision& decision)
{
    const auto members = member_ids(decision.next);
    const auto has_ended = [&](const pending_load& load) {
        const auto* host = view.find_host(load.host);
        return host == nullptr || host->part || host->is_leaving ||
               view.is_unresponsive(host->id, host->incarnation) || is_staged(*host, load.model) ||
               contains(members, load.host) || view.overdue_loads->contains(load.host);
    };
    const auto ended = std::erase_if(decision.next.loads, has_ended);
    if (ended > 0) {
        decision.is_changed = true;
        decision.reasons.push_back({std::to_string(ended) + " model loads ended"});
    }
    for (const auto& load : decision.next.loads) {
        decision.load_orders.push_back({order_kind::stage, load.host, {}, 0, load.model, {}});
    }
}

/// The highest generation that the record or a host of the domain knows. A host may know a higher one if the
/// record was lost and an older one restored.
std::uint64_t last_known_generation(const domain_view& view)
{
    auto last = view.record->last_generation;
    for (const auto& host : view.hosts) {
        last = std::max(last, host.part ? host.part->generation : 0);
    }
    return last;
}

/// Adds a replica of these hosts to the record. Returns its name.
std::string add_replica(domain_record& record, const domain_view& view,
                        std::span<const listed_host* const> hosts, const std::string& model,
                        std::string_view name_prefix, replica_phase phase)
{
    replica_entry entry;
    record.last_generation = std::max(record.last_generation, last_known_generation(view)) + 1;
    entry.generation = record.last_generation;
    entry.name = std::string{name_prefix} + "-" + std::to_string(entry.generation);
    entry.model = model;
    entry.phase = phase;
    for (const auto* host : hosts) {
        entry.hosts.push_back({host->id, host->address, host->incarnation, false});
    }
    record.replicas.push_back(std::move(entry));
    return record.replicas.back().name;
}

} // namespace

bool has_part(const listed_host& host, const replica_entry& replica)
{
    return host.part && host.part->replica == replica.name && host.part->generation == replica.generation;
}

domain_decision plan_domain(const domain_view& view)
{
    domain_decision decision;
    decision.next = *view.record;
    std::vector<replica_entry> kept;
    for (auto& replica : decision.next.replicas) {
        const auto before = replica.phase;
        const auto loss = mark_lost(replica, view);
        if (loss) {
            decision.is_changed = true;
            decision.has_loss = true;
            decision.is_old_loss = rests_on_old_silence(replica, view);
            replica.phase = replica_phase::dissolving;
            decision.reasons.push_back(*loss);
        }
        else if (replica.phase == replica_phase::forming) {
            plan_forming(replica, view, decision);
        }
        else if (replica.phase == replica_phase::warming) {
            plan_warming(replica, view, decision);
        }
        else if (replica.phase == replica_phase::open || replica.phase == replica_phase::retiring) {
            if (!plan_held(replica, view, decision)) {
                plan_open(replica, view, decision);
            }
        }
        else if (plan_dissolving(replica, view, decision)) {
            decision.is_changed = true;
            decision.reasons.push_back({replica.name + ": dissolved"});
            continue;
        }
        decision.is_changed = decision.is_changed || replica.phase != before;
        kept.push_back(std::move(replica));
    }
    decision.next.replicas = std::move(kept);
    release_unrecorded_hosts(view, decision);
    plan_pending_loads(view, decision);
    return decision;
}

std::vector<const listed_host*> free_hosts(const domain_view& view)
{
    std::vector<const listed_host*> found;
    const auto members = member_ids(*view.record);
    for (const auto& host : view.hosts) {
        if (!host.part && !host.is_leaving && !view.is_unresponsive(host.id, host.incarnation) &&
            !contains(members, host.id)) {
            found.push_back(&host);
        }
    }
    return found;
}

bool form_replica(domain_record& record, const domain_view& view, const model_profile& model,
                  std::string_view name_prefix, bool only_staged)
{
    domain_view current = view;
    current.record = &record;
    auto candidates = free_hosts(current);
    if (only_staged) {
        std::erase_if(candidates, [&](const listed_host* host) { return !is_staged(*host, model.name); });
    }
    if (candidates.size() < model.hosts_per_replica || model.hosts_per_replica == 0) {
        return false;
    }
    // The replica opens only when its slowest host has joined.
    const auto readiness = [&](const listed_host* host) {
        return std::pair{is_staged(*host, model.name), host->warm_model == model.name};
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const listed_host* a, const listed_host* b) { return readiness(a) > readiness(b); });
    candidates.resize(model.hosts_per_replica);
    add_replica(record, view, candidates, model.name, name_prefix, replica_phase::forming);
    return true;
}

std::vector<std::string> add_warming_replicas(domain_record& record, const domain_view& view,
                                              std::span<const model_profile> models,
                                              std::string_view name_prefix)
{
    std::vector<std::string> added;
    domain_view current = view;
    current.record = &record;
    for (const auto& model : models) {
        auto candidates = free_hosts(current);
        std::erase_if(candidates, [&](const listed_host* host) {
            return !is_staged(*host, model.name) || host->warm_model == model.name;
        });
        if (!candidates.empty()) {
            added.push_back(
                add_replica(record, view, candidates, model.name, name_prefix, replica_phase::warming));
        }
    }
    return added;
}

const char* name_of(order_kind kind) noexcept
{
    switch (kind) {
    case order_kind::join:
        return "join";
    case order_kind::open:
        return "open";
    case order_kind::leave:
        return "leave";
    case order_kind::stage:
        return "stage";
    }
    return "unknown";
}

} // namespace coriander
