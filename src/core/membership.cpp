#include "coriander/membership.hpp"

#include "coriander/digest.hpp"

#include <tuple>
#include <utility>

namespace coriander {

std::uint64_t member_id(const std::string& name)
{
    return stable_hash(name);
}

membership::membership(member_identity self, membership_settings settings)
    : own{std::move(self)}, settings{settings}
{
    this->own_state.id = member_id(this->own.name);
    this->own_state.incarnation = this->own.incarnation;
}

void membership::advance_heartbeat(std::uint64_t config_number, bool stopping, bool table_reachable,
                                   bool is_cut_off)
{
    ++this->own_state.counter;
    this->own_state.config_number = config_number;
    this->own_state.stopping = stopping;
    this->own_state.table_reachable = table_reachable;
    this->own_state.is_cut_off = is_cut_off;
}

void membership::add_identity(const member_identity& identity, time_ms now)
{
    const auto id = member_id(identity.name);
    if (id == this->own_state.id) {
        return;
    }
    auto [found, is_new] = this->others.try_emplace(id);
    auto& member = found->second;
    if (is_new) {
        member.first_seen = now;
        // Far enough in the past for the largest window, so that an identity alone does not count as a sign
        // of life.
        member.heard_at = now - this->settings.forget_after;
        member.heartbeat.id = id;
    }
    if (!member.identity || identity.incarnation > member.identity->incarnation) {
        member.identity = identity;
    }
    else if (identity.incarnation == member.identity->incarnation) {
        auto merged = identity;
        merged.features.add(member.identity->features);
        if (merged.build.empty()) {
            merged.build = std::move(member.identity->build);
        }
        member.identity = std::move(merged);
    }
}

void membership::merge_heartbeat(const member_heartbeat& heartbeat, time_ms now)
{
    if (heartbeat.id == this->own_state.id) {
        return;
    }
    auto [found, is_new] = this->others.try_emplace(heartbeat.id);
    auto& member = found->second;
    if (is_new) {
        member.first_seen = now;
    }
    const bool is_newer = std::tie(heartbeat.incarnation, heartbeat.counter) >
                          std::tie(member.heartbeat.incarnation, member.heartbeat.counter);
    if (is_newer) {
        member.heartbeat = heartbeat;
        member.heard_at = now;
        member.times_sent = 0;
    }
}

std::vector<member_heartbeat> membership::heartbeats_to_send(time_ms now)
{
    std::erase_if(this->others, [&](const auto& item) {
        return now - item.second.heard_at > this->settings.forget_after &&
               now - item.second.first_seen > this->settings.forget_after;
    });
    std::vector<other_member*> candidates;
    for (auto& [id, member] : this->others) {
        if (now - member.heard_at <= this->window()) {
            candidates.push_back(&member);
        }
    }
    // Least often sent first; among equals, the most recently advanced.
    const auto sends_before = [](const other_member* a, const other_member* b) {
        return std::make_pair(a->times_sent, b->heard_at) < std::make_pair(b->times_sent, a->heard_at);
    };
    const auto count = std::min(candidates.size(), this->settings.heartbeats_per_message - 1);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), sends_before);
    std::vector<member_heartbeat> heartbeats{this->own_state};
    for (std::size_t i = 0; i < count; ++i) {
        ++candidates[i]->times_sent;
        heartbeats.push_back(candidates[i]->heartbeat);
    }
    return heartbeats;
}

std::vector<member_identity> membership::identities_to_send()
{
    std::vector<member_identity> list{this->own};
    auto next = this->others.upper_bound(this->identity_cursor);
    for (std::size_t visited = 0; visited < this->others.size(); ++visited) {
        if (list.size() >= this->settings.identities_per_message) {
            break;
        }
        if (next == this->others.end()) {
            next = this->others.begin();
        }
        if (next->second.identity) {
            list.push_back(*next->second.identity);
            // Takes as many bytes as an address, and only operators need it.
            list.back().build.clear();
        }
        this->identity_cursor = next->first;
        ++next;
    }
    return list;
}

time_ms membership::window() const noexcept
{
    const auto turns =
        (this->known() + this->settings.heartbeats_per_message - 1) / this->settings.heartbeats_per_message;
    return this->settings.alive_window * static_cast<std::int64_t>(std::max<std::size_t>(1, turns));
}

std::vector<const member_identity*> membership::sendable(time_ms now) const
{
    std::vector<const member_identity*> list;
    for (const auto& [id, member] : this->others) {
        const bool may_be_alive =
            now - std::max(member.heard_at, member.first_seen) <= this->settings.forget_after;
        if (member.identity && may_be_alive) {
            list.push_back(&*member.identity);
        }
    }
    return list;
}

void membership::move_near_first(std::vector<const member_identity*>& candidates, std::size_t count) const
{
    if (this->settings.near_targets == 0 || candidates.size() <= count) {
        return;
    }
    const auto is_near = [&](const member_identity* one) {
        return one->failure_domain == this->own.failure_domain;
    };
    std::vector<const member_identity*> near;
    std::vector<const member_identity*> others;
    for (const auto* one : candidates) {
        (is_near(one) && near.size() < this->settings.near_targets ? near : others).push_back(one);
    }
    // The rest is drawn from other failure domains as long as there are enough members.
    std::stable_partition(others.begin(), others.end(), [&](const auto* one) { return !is_near(one); });
    candidates = std::move(near);
    candidates.insert(candidates.end(), others.begin(), others.end());
}

std::vector<member_view> membership::alive(time_ms now) const
{
    std::vector<member_view> list;
    for (const auto& [id, member] : this->others) {
        if (member.identity && now - member.heard_at <= this->window()) {
            list.push_back({*member.identity, member.heartbeat, member.heard_at});
        }
    }
    return list;
}

bool membership::is_alive(const std::string& name, std::uint64_t incarnation, time_ms now) const
{
    const auto found = this->others.find(member_id(name));
    return found != this->others.end() && found->second.heartbeat.incarnation == incarnation &&
           now - found->second.heard_at <= this->window();
}

} // namespace coriander
