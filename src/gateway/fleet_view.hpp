#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/replicas/listed_host.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What a host tells of itself when asked.
struct host_status {
    std::uint64_t incarnation = 0;
    bool is_ordered = false;
    std::uint64_t orders_begun = 0; ///< Orders that began something since its start.
    std::vector<std::string> staged;
    std::optional<replica_part> part;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pace = 1.0; ///< Above 1: slower than it should be.
};

/// Names one fabric domain of one service.
struct domain_key {
    std::string service;
    std::string domain;
    auto operator<=>(const domain_key&) const = default;

    /// The key of the domain's row.
    [[nodiscard]] std::string row_key() const { return this->service + "/" + this->domain; }
};

/// Parses a row's key; nothing when it is not one.
[[nodiscard]] std::optional<domain_key> parse_domain_key(std::string_view row_key);

/// A host as the record of its replica names it.
[[nodiscard]] listed_host host_of(const domain_key& key, const replica_host& member);

/// A domain's record with the version of its row; version 0: there is no row yet.
struct versioned_domain {
    domain_record record;
    std::uint64_t version = 0;
};

/// What this daemon knows of hosts and replicas: from the platform's list, the table's rows, and the hosts
/// themselves. Not thread-safe.
class fleet_view {
public:
    /// Takes a host of the platform's list in.
    void set_host(const listed_host& host, time_ms now);
    /// The list doesn't hold the host any more.
    void remove_host(const std::string& id);
    /// Takes a host's own word in, which it gave at `asked` or later; for a while it goes before the list,
    /// which lags. A word that is older than the last one is ignored.
    void update_host(const std::string& id, const host_status& status, time_ms asked);
    /// Lets what the list told meanwhile take the place of hosts' own words that are too old to go before it.
    /// Call before decisions.
    void settle(time_ms now);

    /// The host has carried out the order to leave the replica.
    void leave_host(const std::string& id, const std::string& replica, std::uint64_t generation, time_ms now);

    /// Takes a domain's row in; an older version than known is ignored. Returns whether it was news.
    bool set_domain(const domain_key& key, domain_record record, std::uint64_t version);

    /// Notes that a host doesn't answer, until it does or starts anew.
    void mark_silent(const std::string& id);
    void clear_silent(const std::string& id);
    [[nodiscard]] bool is_silent(const std::string& id) const;

    [[nodiscard]] const listed_host* find_host(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, listed_host>& hosts() const noexcept { return this->known; }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& silent() const noexcept
    {
        return this->silent_hosts;
    }

    /// When the host last spoke for itself, and when the list last told of it; nothing when never.
    [[nodiscard]] std::optional<time_ms> told_at(const std::string& id) const;
    [[nodiscard]] std::optional<time_ms> listed_at(const std::string& id) const;

    /// The record of a domain; an empty one without a row.
    [[nodiscard]] const versioned_domain& domain(const domain_key& key) const;
    /// All domains of a service: of its hosts and of its rows.
    [[nodiscard]] std::vector<domain_key> domains_of(const std::string& service) const;
    /// Copies of the hosts of a domain.
    [[nodiscard]] std::vector<listed_host> hosts_of(const domain_key& key) const;
    /// How many hosts of the service are listed.
    [[nodiscard]] std::size_t host_count(const std::string& service) const;
    /// When a host of the domain was last seen for the first time.
    [[nodiscard]] time_ms last_arrival(const domain_key& key) const;

    /// The targets of a service that may get new work.
    [[nodiscard]] std::vector<relay_target> targets_of(const relay_service& service) const;
    /// The service's replica with this name; null without one.
    [[nodiscard]] const replica_entry* find_replica(const std::string& service,
                                                    const std::string& name) const;

    /// Counts changes: differs when targets may have changed.
    [[nodiscard]] std::uint64_t change_count() const noexcept { return this->changes; }

private:
    /// A host's own word while it goes before the list.
    struct fresh_word {
        std::uint64_t generation = 0;    ///< The highest that the host was known to have joined.
        std::optional<listed_host> next; ///< What the list has told since.
    };

    [[nodiscard]] bool may_serve(const replica_entry& replica) const;
    void note_word(const listed_host& host, time_ms at);
    /// Puts what the list tells in the place of what is known of the host. The list doesn't tell its warm
    /// model.
    void adopt(listed_host& known, const listed_host& listed) const;
    /// Remembers the model of the replica that the host is ready in, if it is.
    void note_warmth(listed_host& host) const;

    std::map<std::string, listed_host> known;
    std::map<std::string, std::uint64_t> silent_hosts; ///< With the incarnation that fell silent.
    std::map<domain_key, versioned_domain> records;
    std::map<domain_key, time_ms> arrivals;
    std::map<std::string, time_ms> words;          ///< When each host last spoke for itself.
    std::map<std::string, fresh_word> fresh_words; ///< Those that the list may lag behind.
    std::map<std::string, time_ms> listings;       ///< When the list last told of each host.
    std::uint64_t changes = 0;
};

} // namespace coriander
