#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/replicas/listed_host.hpp"
#include "coriander/time_ms.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Kind of order to an engine's host.
enum class order_kind {
    join,  ///< Join the replica.
    open,  ///< To a leader: start accepting requests.
    leave, ///< Leave the replica.
    stage, ///< Load a model into the host's own memory.
};

/// An order to one host. The kind determines which fields are used.
struct host_order {
    order_kind kind = order_kind::join;
    std::string host;
    std::string replica;
    std::uint64_t generation = 0;
    std::string model;
    std::vector<std::string> members; ///< Ids of all hosts of the replica, the leader first.
};

/// A sound host may fall silent for about a second and go on; one that is silent for longer is lost.
inline constexpr time_ms max_sound_silence{1500};

/// A host that leaves probes or orders unanswered.
struct silent_host {
    std::uint64_t incarnation = 0; ///< The incarnation that fell silent.
    time_ms since{};               ///< When the first request that it left unanswered was sent.
    bool has_ended = false;        ///< Its process is proved to have ended.
    bool is_overdue = false;       ///< Silent for longer than a sound host may be, as noticed by the view.

    /// Whether a sound host may be silent for as long as this one has been.
    [[nodiscard]] bool may_be_sound(time_ms now) const noexcept
    {
        return !this->has_ended && now - this->since < max_sound_silence;
    }
};

/// Known state of one fabric domain.
struct domain_view {
    const domain_record* record = nullptr;
    std::span<const listed_host> hosts; ///< Hosts of the domain.
    /// Unresponsive hosts by id.
    const std::map<std::string, silent_host>* silent = nullptr;
    /// Names of retiring and dissolving replicas whose requests have ended or timed out, and of forming
    /// replicas that timed out.
    const std::set<std::string>* finished = nullptr;
    /// Hosts whose load timed out.
    const std::set<std::string>* overdue_loads = nullptr;
    time_ms now{};
    /// Whether this daemon owns the domain and so requests the status of hosts of dissolving replicas.
    bool is_owner = true;
    /// Names of open replicas that are kept while their silent hosts may be sound; null if there are none.
    const std::set<std::string>* held = nullptr;

    /// The host of the domain with this id, or null if it is not listed.
    [[nodiscard]] const listed_host* find_host(std::string_view id) const;
    /// Whether this incarnation of the host is silent.
    [[nodiscard]] bool is_unresponsive(const std::string& id, std::uint64_t incarnation) const;
    /// Whether this member of the replica is silent, and the replica is held until it answers or is lost.
    [[nodiscard]] bool is_awaited(const replica_entry& replica, const replica_host& member) const;
};

/// Reason for a change of a domain's record, for log lines.
struct domain_reason {
    std::string text;
    std::string host{}; ///< The host whose state is the reason; empty if there is none.
};

/// Actions to take in a domain. If the record changes, it must be committed first; the orders are then
/// planned again from the committed record.
struct domain_decision {
    domain_record next;
    bool is_changed = false;
    bool has_loss = false; ///< A replica lost a host; the change should be committed immediately.
    /// The loss rests on a silence that began long ago; the host may have answered the owner since.
    bool is_old_loss = false;
    std::vector<host_order> orders;
    std::vector<host_order> load_orders; ///< Orders for loads in progress; ignored by `needs_action`.
    /// Hosts of open replicas that should be queried: the host list, but not the host itself, shows a
    /// different state, or the host is silent and its replica is held.
    std::vector<std::string> unconfirmed_hosts;
    /// Dissolving replicas whose hosts are not ordered to leave yet, since their requests may go on.
    std::vector<std::string> waiting_replicas;
    /// Open replicas that are kept although a host is silent.
    std::vector<std::string> held_replicas;
    std::vector<domain_reason> reasons; ///< One per change.

    /// Whether the record changes or there are orders other than for loads.
    [[nodiscard]] bool needs_action() const noexcept { return this->is_changed || !this->orders.empty(); }
};

/// Whether the host's last known state is membership in this generation of the replica.
[[nodiscard]] bool has_part(const listed_host& host, const replica_entry& replica);

/// Plans the next actions for the replicas of a domain: detects lost hosts, opens replicas that are ready,
/// frees hosts. Pure.
[[nodiscard]] domain_decision plan_domain(const domain_view& view);

/// The hosts that belong to no replica and can join one.
[[nodiscard]] std::vector<const listed_host*> free_hosts(const domain_view& view);

/// Adds a replica of the model to the record if there are enough free hosts; with `only_staged`, only hosts
/// that hold the model are used. Returns whether a replica was added.
bool form_replica(domain_record& record, const domain_view& view, const model_profile& model,
                  std::string_view name_prefix, bool only_staged);

/// For each model, adds a warming replica of the free hosts that hold the model but were not ready in a
/// replica of it since their start. A warming replica never opens; it lets its hosts join a replica without
/// delay after a host is lost. Returns the names of the added replicas.
std::vector<std::string> add_warming_replicas(domain_record& record, const domain_view& view,
                                              std::span<const model_profile> models,
                                              std::string_view name_prefix);

/// Name of the kind in log lines.
[[nodiscard]] const char* name_of(order_kind kind) noexcept;

} // namespace coriander
