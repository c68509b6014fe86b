#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Intended phase of a replica.
enum class replica_phase {
    forming,    ///< Its hosts are ordered to join it.
    open,       ///< All hosts were ready, and the leader accepts requests.
    retiring,   ///< Gets no new requests because one of its hosts is leaving.
    dissolving, ///< Gets no requests; its hosts are ordered to leave it.
    warming,    ///< Consists of spare hosts that load the weights in advance; never opens.
};

/// A host of a replica, as it was when the replica was formed.
struct replica_host {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    bool is_lost = false; ///< It is unresponsive or has restarted.
    std::string unknown_members{};
};

/// A replica of one fabric domain.
struct replica_entry {
    std::string name;
    std::string model;
    std::uint64_t generation = 0; ///< Unique in the domain; increases with each replica.
    replica_phase phase = replica_phase::forming;
    std::vector<replica_host> hosts; ///< The first is the leader, which accepts requests.
    std::string unknown_members{};
};

/// A model that a host was ordered to load into its own memory.
struct pending_load {
    std::string host;
    std::string model;
    std::string unknown_members{};
};

/// All replicas of one service in one fabric domain. They share one row of the table, so that changes to a
/// domain are serialized and a host belongs to at most one replica. Each part keeps the members of its JSON
/// object that only a newer build knows, as JSON text (empty if there are none), and writes them back.
struct domain_record {
    std::string owner; ///< The daemon that sends the orders; others take over if it fails to.
    std::uint64_t last_generation = 0;
    std::vector<replica_entry> replicas;
    std::vector<pending_load> loads; ///< Recorded because loads of all domains share the weight store.
    /// Increases with each change. Shows which of two records is newer if the table was restored from an
    /// earlier copy between them.
    std::uint64_t revision = 0;
    /// The era of the table in which the record was written. One that was written after a restore is newer
    /// than any from before, whatever the revisions.
    std::uint64_t written_in_era = 0;
    std::string unknown_members{};
};

[[nodiscard]] std::string encode_domain(const domain_record& record);

/// Returns nothing if the text is not a valid record.
[[nodiscard]] std::optional<domain_record> decode_domain(std::string_view text);

/// Name of the phase in rows and log lines.
[[nodiscard]] const char* name_of(replica_phase phase) noexcept;

} // namespace coriander
