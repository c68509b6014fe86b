#pragma once

#include "coriander/peer_feature.hpp"
#include "coriander/random_source.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// The properties of a daemon that change only when it restarts.
struct member_identity {
    std::string name;
    std::uint64_t incarnation = 0; ///< Wall-clock start in milliseconds; a later start is a larger number.
    std::string http_address;
    std::string peer_address;
    std::string failure_domain;
    std::string region;
    feature_set features; ///< Of the peers' protocol that it understands.
    std::string build;    ///< Empty if not reported: by an older build, or in what a third daemon forwards.
};

/// The state that a daemon sends with every heartbeat.
struct member_heartbeat {
    std::uint64_t id = 0; ///< Hash of the name.
    std::uint64_t incarnation = 0;
    std::uint32_t counter = 0; ///< Increases with every heartbeat.
    std::uint64_t config_number = 0;
    bool stopping = false;
    bool table_reachable = true;
    bool is_cut_off = false; ///< It can't reach the hosts of some service.
    bool is_strong = false;  ///< It can work for others: read tables and control replicas.
    /// Flags that this build doesn't know; forwarded as they are.
    std::uint32_t unknown_flags = 0;
};

/// What this daemon knows about another member.
struct member_view {
    member_identity identity;
    member_heartbeat heartbeat;
    time_ms heard_at; ///< When its heartbeat last advanced, on this daemon's clock.

    /// Whether the process that runs understands the feature. An identity of an earlier process of that name
    /// says nothing: it may have been of another build.
    [[nodiscard]] bool understands(peer_feature feature) const noexcept
    {
        return this->identity.incarnation == this->heartbeat.incarnation &&
               this->identity.features.contains(feature);
    }
};

/// Liveness time-outs and message sizes.
struct membership_settings {
    /// A member whose heartbeat has not advanced for longer is not considered alive. The effective window
    /// grows with the number of members when they do not fit into one message, since their heartbeats are
    /// then sent in turns.
    time_ms alive_window{5000};
    time_ms forget_after{600000};
    std::size_t heartbeats_per_message = 64;
    std::size_t identities_per_message = 4;
    /// How many of the members that a round of messages goes to are of the own failure domain, if there are
    /// so many. Messages that leave it are few, since they cost more, and enough to spread what changes.
    std::size_t near_targets = 0;
};

/// The id of the member with this name: a stable hash.
[[nodiscard]] std::uint64_t member_id(const std::string& name);

/// The other daemons and whether they are alive, learnt from heartbeats that daemons forward to each other
/// (gossip). This is soft state: no correctness guarantee may depend on it. Not thread-safe.
class membership {
public:
    membership(member_identity self, membership_settings settings = {});

    /// Advances this daemon's own heartbeat.
    void advance_heartbeat(std::uint64_t config_number, bool stopping, bool table_reachable,
                           bool is_cut_off = false);

    /// Sets whether this daemon's heartbeats say that it can work for others.
    void set_strong(bool is_strong) { this->own_state.is_strong = is_strong; }

    /// Adds or updates a member that the table or a message named. Does not count as a sign of life. Features
    /// and build hold for a whole incarnation: a daemon of an older build forwards the identity without them.
    void add_identity(const member_identity& identity, time_ms now);

    /// Records a heartbeat, unless it is no newer than the last one known of that member.
    void merge_heartbeat(const member_heartbeat& heartbeat, time_ms now);

    /// The heartbeats to send: this daemon's own, then those of live members, least often sent first.
    [[nodiscard]] std::vector<member_heartbeat> heartbeats_to_send(time_ms now);

    /// The identities to send: this daemon's own, then those of the other members in turn.
    [[nodiscard]] std::vector<member_identity> identities_to_send();

    /// Chooses up to `count` other members to send to, at random among those that may be alive.
    template <random_source Random>
    [[nodiscard]] std::vector<member_identity> choose_targets(std::size_t count, time_ms now,
                                                              Random& random) const
    {
        auto candidates = this->sendable(now);
        std::shuffle(candidates.begin(), candidates.end(), random);
        this->move_near_first(candidates, count);
        candidates.resize(std::min(count, candidates.size()));
        std::vector<member_identity> chosen;
        chosen.reserve(candidates.size());
        for (const auto* candidate : candidates) {
            chosen.push_back(*candidate);
        }
        return chosen;
    }

    /// All other members whose heartbeat advanced within the window.
    [[nodiscard]] std::vector<member_view> alive(time_ms now) const;

    /// Calls `visit` with the identity and the heartbeat of each of them, without copying.
    template <typename Visitor>
    void visit_alive(time_ms now, Visitor visit) const
    {
        const auto limit = this->window();
        for (const auto& [id, member] : this->others) {
            if (member.identity && now - member.heard_at <= limit) {
                visit(*member.identity, member.heartbeat);
            }
        }
    }

    /// Whether the member with this name and incarnation is alive.
    [[nodiscard]] bool is_alive(const std::string& name, std::uint64_t incarnation, time_ms now) const;

    [[nodiscard]] const member_identity& self() const noexcept { return this->own; }
    [[nodiscard]] const member_heartbeat& own_heartbeat() const noexcept { return this->own_state; }

    /// Number of known members, including this one.
    [[nodiscard]] std::size_t known() const noexcept { return this->others.size() + 1; }

private:
    struct other_member {
        std::optional<member_identity> identity;
        member_heartbeat heartbeat;
        time_ms heard_at;
        time_ms first_seen;
        std::uint32_t times_sent = 0; ///< Since the heartbeat advanced.
    };

    /// Moves members of the own failure domain to the front, `near_targets` of the first `count`.
    void move_near_first(std::vector<const member_identity*>& candidates, std::size_t count) const;
    [[nodiscard]] std::vector<const member_identity*> sendable(time_ms now) const;
    [[nodiscard]] time_ms window() const noexcept;

    member_identity own;
    member_heartbeat own_state;
    membership_settings settings;
    std::map<std::uint64_t, other_member> others;
    std::uint64_t identity_cursor = 0;
};

} // namespace coriander
