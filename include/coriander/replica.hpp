#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What a replica's row asks for.
enum class replica_state {
    empty,    ///< No hosts; the row keeps the generation.
    serving,  ///< To be loaded and used.
    draining, ///< Gets no new work; freed when its work has ended.
};

/// One host of a replica with the incarnation that was seen when the replica was formed.
struct replica_member {
    std::string host;
    std::string address;
    std::string incarnation;
};

/// A replica's row. A service has as many rows as it wants replicas; the place in the service names the row,
/// so that two controllers can't form one replica too many.
struct replica_record {
    std::string service;
    std::uint32_t slot = 0;
    std::uint64_t generation = 0; ///< Grows whenever the hosts change.
    std::string fabric_domain;
    std::string model;
    replica_state state = replica_state::empty;
    std::vector<replica_member> members; ///< The first is the leader, which takes requests.

    /// `service/slot`.
    [[nodiscard]] std::string id() const;
};

/// Says which replica owns a host. A host without such a row is free.
struct host_claim {
    std::string host;
    std::string replica; ///< Empty: quarantined until it confirms that it is empty.
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

/// The name in rows and lists.
[[nodiscard]] const char* name_of(replica_state state) noexcept;

} // namespace coriander
