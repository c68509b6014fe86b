#pragma once

#include "coriander/random_source.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// What a daemon says of itself once: changes only when it starts anew.
struct member_identity {
    std::string name;
    std::uint64_t incarnation = 0; ///< Wall-clock start in milliseconds; a later start is a larger number.
    std::string http_address;
    std::string peer_address;
    std::string failure_domain;
    std::string region;
};

/// What a daemon says of itself all the time.
struct member_heartbeat {
    std::uint64_t id = 0; ///< Hash of the name.
    std::uint64_t incarnation = 0;
    std::uint32_t counter = 0; ///< Counts up.
    std::uint64_t config_number = 0;
    bool stopping = false;
    bool table_reachable = true;
};

/// A member as this daemon knows it.
struct member_view {
    member_identity identity;
    member_heartbeat heartbeat;
    time_ms heard_at; ///< When its beat last advanced, on this daemon's clock.
};

/// How members are judged and how much is told.
struct membership_settings {
    /// A member whose beat stood still for longer is not counted on. Grows with the number of members beyond
    /// those that fit into one message: their beats take turns.
    time_ms alive_window{5000};
    time_ms forget_after{600000};
    std::size_t heartbeats_per_message = 64;
    std::size_t identities_per_message = 4;
};

/// The id of a member's name.
[[nodiscard]] std::uint64_t member_id(const std::string& name);

/// Who the other daemons are and whether they live, learnt from beats that daemons pass on to each other.
/// Soft state: nothing that must hold rests on it. Not thread-safe.
class membership {
public:
    membership(member_identity self, membership_settings settings = {});

    /// Advances the own beat.
    void advance_heartbeat(std::uint64_t config_number, bool stopping, bool table_reachable);

    /// Learns of a member from the table or from a message.
    void add_identity(const member_identity& identity, time_ms now);

    /// Takes a beat in; one that is not newer is ignored.
    void merge_heartbeat(const member_heartbeat& heartbeat, time_ms now);

    /// The beats to send: the own one, then those that advanced last, in turn.
    [[nodiscard]] std::vector<member_heartbeat> heartbeats_to_send(time_ms now);

    /// The identities to send: the own one, then others in turn.
    [[nodiscard]] std::vector<member_identity> identities_to_send();

    /// Chooses up to `count` others to send to, at random among those that may live.
    template <random_source Random>
    [[nodiscard]] std::vector<member_identity> choose_targets(std::size_t count, time_ms now,
                                                              Random& random) const
    {
        auto candidates = this->sendable(now);
        std::shuffle(candidates.begin(), candidates.end(), random);
        candidates.resize(std::min(count, candidates.size()));
        return candidates;
    }

    /// All other members whose beat advanced within the window.
    [[nodiscard]] std::vector<member_view> alive(time_ms now) const;

    /// Whether a member with this name and incarnation lives.
    [[nodiscard]] bool is_alive(const std::string& name, std::uint64_t incarnation, time_ms now) const;

    [[nodiscard]] const member_identity& self() const noexcept { return this->own; }
    [[nodiscard]] const member_heartbeat& own_heartbeat() const noexcept { return this->own_state; }

    /// Number of members known, this one included.
    [[nodiscard]] std::size_t known() const noexcept { return this->others.size() + 1; }

private:
    struct other_member {
        std::optional<member_identity> identity;
        member_heartbeat heartbeat;
        time_ms heard_at;
        time_ms first_seen;
        std::uint32_t times_sent = 0; ///< Since the beat advanced.
    };

    [[nodiscard]] std::vector<member_identity> sendable(time_ms now) const;
    [[nodiscard]] time_ms window() const noexcept;

    member_identity own;
    member_heartbeat own_state;
    membership_settings settings;
    std::map<std::uint64_t, other_member> others;
    std::uint64_t identity_cursor = 0;
};

} // namespace coriander
