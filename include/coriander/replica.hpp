#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Desired state of a replica, as stored in its row.
enum class replica_state {
    empty,    ///< No hosts; the row preserves the generation.
    serving,  ///< Should be loaded and get requests.
    draining, ///< Gets no new requests; its hosts are released once the running ones have ended.
};

/// One host of a replica, with its incarnation when the replica was formed.
struct replica_member {
    std::string host;
    std::string address;
    std::string incarnation;
};

/// A replica's row. A service has one row per wanted replica. The row's key contains the slot within the
/// service, so that two controllers can't form more replicas than wanted.
struct replica_record {
    std::string service;
    std::uint32_t slot = 0;
    std::uint64_t generation = 0; ///< Increases whenever the hosts change.
    std::string fabric_domain;
    std::string model;
    replica_state state = replica_state::empty;
    std::vector<replica_member> members; ///< The first is the leader, which accepts requests.

    /// `service/slot`.
    [[nodiscard]] std::string id() const;
};

/// Row that assigns a host to a replica. A host without such a row is free.
struct host_claim {
    std::string host;
    std::string replica; ///< Empty: the host is quarantined until it confirms that it holds no replica.
    std::uint64_t generation = 0;
};

constexpr std::string_view replica_prefix = "replicas/";
constexpr std::string_view host_claim_prefix = "hosts/";

[[nodiscard]] std::string replica_row_key(const replica_record& replica);
[[nodiscard]] std::string host_claim_row_key(std::string_view host);
[[nodiscard]] std::string encode_replica(const replica_record& replica);
[[nodiscard]] std::optional<replica_record> decode_replica(const std::string& text);
[[nodiscard]] std::string encode_host_claim(const host_claim& claim);
[[nodiscard]] std::optional<host_claim> decode_host_claim(const std::string& text);

/// Name of the state in rows and listings.
[[nodiscard]] const char* name_of(replica_state state) noexcept;

} // namespace coriander
