#pragma once

#include "coriander/relay/emptied_domains.hpp"
#include "coriander/relay/relay_manifest.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/relay/target_statements.hpp"
#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/replicas/listed_host.hpp"
#include "coriander/row_version.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coriander {

/// A host's answer to a status request.
struct host_status {
    std::uint64_t incarnation = 0;
    bool is_ordered = false;
    std::uint64_t orders_applied = 0; ///< Orders that had an effect since the host started.
    std::vector<std::string> staged;
    std::optional<replica_part> part;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double slowdown = 1.0; ///< Above 1: slower than expected.
};

/// Identifies one fabric domain of one service.
struct domain_key {
    std::string service;
    std::string domain;
    auto operator<=>(const domain_key&) const = default;

    /// The key of the domain's row in the table.
    [[nodiscard]] std::string row_key() const { return this->service + "/" + this->domain; }
};

/// Parses the key of a domain's row; `std::nullopt` if it is malformed.
[[nodiscard]] std::optional<domain_key> parse_domain_key(std::string_view row_key);

/// Creates a host from its entry in the record of its replica.
[[nodiscard]] listed_host host_of(const domain_key& key, const replica_host& member);

/// A domain's record with the version of its row; number 0 means that the row does not exist yet.
struct versioned_domain {
    domain_record record;
    row_version version;
    /// Whether the table was restored to an older record than this one, which must be written again.
    bool is_lost = false;
};

/// Hosts of a domain at one moment.
using host_list = std::shared_ptr<const std::vector<listed_host>>;

/// This daemon's view of hosts and replicas, merged from the platform's host list, the rows of the table and
/// the status reports of the hosts. Not thread-safe.
class fleet_view {
public:
    fleet_view() = default;
    /// A host that has stated that it leaves is leaving, whatever the list shows. `statements` must outlive
    /// the view.
    explicit fleet_view(const target_statements& statements) : statements{&statements} {}

    /// Observes which failure domains are to be empty. `known` must outlive the view.
    void observe(const emptied_domains& known) { this->emptied = &known; }

    /// Applies the statements that have changed. Call it after each change.
    void apply_statements();

    /// Applies an entry of the platform's host list.
    void set_host(const listed_host& entry_read, time_ms now);
    /// Removes a host that is no longer listed.
    void remove_host(const std::string& id);
    /// Applies a host's own report, requested at `requested_at`. For a while it takes precedence over the
    /// list, which lags behind. A report requested earlier than the last one is ignored.
    void update_host(const std::string& id, const host_status& status, time_ms requested_at);
    /// Replaces reports that are too old to take precedence by what the list has shown since, and ends the
    /// holding of replicas whose hosts are silent for too long. Call before decisions.
    void expire_reports(time_ms now);

    /// Notes that the host has executed the order to leave the replica.
    void on_host_left(const std::string& id, const std::string& replica, std::uint64_t generation,
                      time_ms now);

    /// Applies a domain's row. Returns false and ignores it if its version is not newer than the known one.
    /// If the table was restored to an older record than the known one, keeps that one and marks it as lost.
    bool set_domain(const domain_key& key, domain_record record, row_version version);

    /// Marks the known records that the table does not have in this era as lost. Call it when all rows of the
    /// era have been applied.
    void mark_lost_domains(std::uint64_t era, time_ms now);
    /// When this daemon first had all rows of the table's era.
    [[nodiscard]] std::optional<time_ms> era_known_since() const noexcept { return this->era_since; }
    /// Whether a host of the domain belongs to a replica that is newer than the known record.
    [[nodiscard]] bool is_outdated(const domain_key& key) const;

    /// Marks a host as not answering, until it answers or restarts. `since` is when the first request that it
    /// left unanswered was sent.
    void mark_silent(const std::string& id, time_ms since);
    /// Notes that the process of a silent host is proved to have ended.
    void mark_ended(const std::string& id);
    void clear_silent(const std::string& id);
    [[nodiscard]] bool is_silent(const std::string& id) const;

    [[nodiscard]] const listed_host* find_host(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, listed_host>& hosts() const noexcept { return this->known; }
    [[nodiscard]] const std::map<std::string, silent_host>& silent() const noexcept
    {
        return this->silent_hosts;
    }

    /// Times of the host's last report and of its last list entry; `std::nullopt` if there was none.
    [[nodiscard]] std::optional<time_ms> last_report_at(const std::string& id) const;
    [[nodiscard]] std::optional<time_ms> last_listed_at(const std::string& id) const;

    /// The record of a domain; an empty record if the domain has no row.
    [[nodiscard]] const versioned_domain& domain(const domain_key& key) const;
    /// All domains of a service that have a host or a row.
    [[nodiscard]] std::vector<domain_key> domains_of(const std::string& service) const;
    /// The hosts of a domain, ordered by id. The list stays as it is when hosts change later.
    [[nodiscard]] host_list hosts_of(const domain_key& key) const;
    /// Whether hosts of the domain stand in a failure domain that is to be empty.
    [[nodiscard]] bool is_emptied(const domain_key& key) const;
    /// The number of listed hosts of the service.
    [[nodiscard]] std::size_t host_count(const std::string& service) const;
    /// When a new or restarted host last appeared in the domain.
    [[nodiscard]] time_ms last_arrival(const domain_key& key) const;

    /// The targets of a service that may get new work, and its held replicas. Their further failure domains
    /// are filled in once a domain has been emptied.
    [[nodiscard]] std::vector<relay_target> targets_of(const relay_service& service, time_ms now) const;
    /// Names of the service's replicas that are held: they lack nothing but answers of hosts that may be
    /// sound, and no other replica of their model can serve.
    [[nodiscard]] std::set<std::string> held_replicas(const std::string& service, time_ms now) const;
    /// The service's replica with this name, or null.
    [[nodiscard]] const replica_entry* find_replica(const std::string& service,
                                                    const std::string& name) const;

    /// A counter that differs from an earlier value if targets may have changed since.
    [[nodiscard]] std::uint64_t change_count() const noexcept { return this->changes; }
    /// The same for the hosts and the record of one domain.
    [[nodiscard]] std::uint64_t change_count(const domain_key& key) const;

private:
    /// State of a host whose own report takes precedence over the list.
    struct fresh_report {
        std::uint64_t generation = 0; ///< The highest generation that the host is known to have joined.
        std::optional<listed_host> latest_listed; ///< The newest list entry since the report.
    };

    /// The hosts of one domain, and lists that are made anew only after a change there: a daemon looks at all
    /// domains many times a second, and few of them change.
    struct domain_index {
        std::set<std::string> ids;
        std::uint64_t changes = 0;                       ///< Of its hosts, their silence, and the record.
        host_list hosts;                                 ///< Null after a change.
        std::optional<std::vector<std::size_t>> serving; ///< Positions of such replicas in the record.
    };

    /// Calls `visit` with the key and the index entry of each domain of a service that has or had a host.
    template <typename Visitor>
    void visit_index(const std::string& service, Visitor visit) const
    {
        for (auto next = this->index.lower_bound({service, {}});
             next != this->index.end() && next->first.service == service; ++next) {
            visit(next->first, std::as_const(next->second));
        }
    }
    void note_change(const domain_key& key);
    void note_change(const listed_host& host)
    {
        this->note_change(domain_key{host.service, host.fabric_domain});
    }
    /// Notes that the silence of a host has changed.
    void note_silence(const std::string& id);
    /// Keeps the index up to date when a host's entry is added, replaced or removed. Null: no entry.
    void reindex(const listed_host* before, const listed_host* after);
    /// Positions of the replicas in the domain's record that may serve.
    [[nodiscard]] const std::vector<std::size_t>& serving_in(const domain_key& key,
                                                             const domain_record& record) const;
    [[nodiscard]] bool may_serve(const replica_entry& replica) const;
    /// Whether an open replica could serve if its silent hosts answered, and these may be sound.
    [[nodiscard]] bool may_go_on(const replica_entry& replica, time_ms now) const;
    /// Whether the member still belongs to the open replica, as far as is known.
    [[nodiscard]] bool is_in_place(const replica_entry& replica, const replica_host& member) const;
    void record_report(const listed_host& host, time_ms at);
    /// The entry with the time at which its host is no longer cold.
    [[nodiscard]] listed_host with_cold_end(listed_host host, time_ms now) const;
    /// Overwrites the known state of the host with its list entry, except the warm model, which the list does
    /// not contain.
    void apply_listed(listed_host& known, const listed_host& listed) const;
    /// Returns whether the host has become leaving.
    bool apply_statement(listed_host& host) const;
    /// If the host is ready in a replica, sets its warm model to the replica's model.
    void update_warm_model(listed_host& host) const;

    const target_statements* statements = nullptr;
    const emptied_domains* emptied = nullptr;
    std::uint64_t applied_statements = 0; ///< The statements' counter when they were applied last.
    std::map<std::string, listed_host> known;
    mutable std::map<domain_key, domain_index> index; ///< Of `known`, by service and fabric domain.
    std::map<std::string, silent_host> silent_hosts;
    std::map<domain_key, versioned_domain> records;
    std::map<domain_key, time_ms> arrivals;
    std::map<std::string, time_ms> report_times;       ///< When each host's last report was requested.
    std::map<std::string, fresh_report> fresh_reports; ///< Reports that may be newer than the list.
    std::map<std::string, time_ms> list_times;         ///< When each host's last list entry was applied.
    std::uint64_t table_era = 0;
    std::optional<time_ms> era_since; ///< When all rows of that era were known.
    std::uint64_t changes = 0;
};

} // namespace coriander
