#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What is to be done with a replica.
enum class replica_phase {
    forming,    ///< Its hosts are ordered to join.
    open,       ///< All hosts were seen ready, and the leader takes requests.
    retiring,   ///< Gets no new requests; a host of it will leave.
    dissolving, ///< Its hosts are ordered to leave it; it gets no requests.
    warming,    ///< Spare hosts that join in order to have the weights at hand; it never opens.
};

/// A host of a replica, as it was when the replica was formed.
struct replica_host {
    std::string id;
    std::string address;
    std::uint64_t incarnation = 0;
    bool is_lost = false; ///< It stopped answering.
};

/// A replica of one fabric domain.
struct replica_entry {
    std::string name;
    std::string model;
    std::uint64_t generation = 0; ///< Unique in the domain and growing.
    replica_phase phase = replica_phase::forming;
    std::vector<replica_host> hosts; ///< The first is the leader, which takes requests.
};

/// A model that a host was ordered to load into its own memory.
struct pending_load {
    std::string host;
    std::string model;
};

/// All replicas of one service in one fabric domain: one row of the table, so that a host belongs to at most
/// one replica and all changes of a domain are made one after the other.
struct domain_record {
    std::string owner; ///< The daemon that gives orders; others step in when it doesn't.
    std::uint64_t last_generation = 0;
    std::vector<replica_entry> replicas;
    std::vector<pending_load> loads; ///< Under way: all domains share the weight store.
};

[[nodiscard]] std::string encode_domain(const domain_record& record);

/// Nothing when the text is not a record.
[[nodiscard]] std::optional<domain_record> decode_domain(std::string_view text);

/// The name in rows and log lines.
[[nodiscard]] const char* name_of(replica_phase phase) noexcept;

} // namespace coriander
