#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/replicas/listed_host.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What an engine's host is told to do.
enum class order_kind {
    join,  ///< Become a host of the replica.
    open,  ///< To a leader: take requests.
    leave, ///< Belong to the replica no more.
    stage, ///< Load a model into the host's own memory.
};

/// An order to one host. Which fields count depends on the kind.
struct host_order {
    order_kind kind = order_kind::join;
    std::string host;
    std::string replica;
    std::uint64_t generation = 0;
    std::string model;
    std::vector<std::string> members; ///< Ids of all hosts, the leader's first.
};

/// What is known of one fabric domain.
struct domain_view {
    const domain_record* record = nullptr;
    std::span<const listed_host> hosts; ///< Of the domain.
    /// Hosts that don't answer, by id, with the incarnation that fell silent.
    const std::map<std::string, std::uint64_t>* silent = nullptr;
    /// Retiring replicas whose work has ended or has had its time, and forming ones that took too long.
    const std::set<std::string>* finished = nullptr;
    /// Hosts whose load took too long.
    const std::set<std::string>* overdue_loads = nullptr;
};

/// Why a domain's record changes, for log lines.
struct domain_reason {
    std::string text;
    std::string host{}; ///< On whose state it rests; empty when on none's.
};

/// What should be done in a domain. A changed record is committed first; the orders follow from it then.
struct domain_decision {
    domain_record next;
    bool is_changed = false;
    bool has_loss = false; ///< A replica lost a host: its record should say so at once.
    std::vector<host_order> orders;
    std::vector<host_order> load_orders; ///< Of loads under way; nobody waits for them.
    std::vector<std::string>
        unconfirmed_hosts; ///< Hosts of open replicas of which the list tells otherwise: to be asked.
    std::vector<domain_reason> reasons; ///< One for each change.

    /// Whether there is anything to do.
    [[nodiscard]] bool needs_action() const noexcept { return this->is_changed || !this->orders.empty(); }
};

/// Whether the host belongs to the replica, in its generation, as far as is known.
[[nodiscard]] bool has_part(const listed_host& host, const replica_entry& replica);

/// Follows the replicas of a domain: notices lost hosts, opens what is ready, frees hosts. Pure.
[[nodiscard]] domain_decision plan_domain(const domain_view& view);

/// The hosts that belong to no replica and could join one.
[[nodiscard]] std::vector<const listed_host*> free_hosts(const domain_view& view);

/// Adds a replica of the model to the record if enough free hosts are there. With `only_staged` only hosts
/// that hold the model count. Returns whether it was added.
bool form_replica(domain_record& record, const domain_view& view, const model_profile& model,
                  std::string_view name_stem, bool only_staged);

/// Adds a replica that never opens of the free hosts that hold a model and were not ready in a replica of it
/// since their start, one for each model, so that they join at once when a host is lost. Returns the names.
std::vector<std::string> add_warming_replicas(domain_record& record, const domain_view& view,
                                              std::span<const model_profile> models,
                                              std::string_view name_stem);

/// The name of the order's kind in log lines.
[[nodiscard]] const char* name_of(order_kind kind) noexcept;

} // namespace coriander
