#pragma once

#include "coriander/fleet.hpp"
#include "coriander/placement.hpp"
#include "coriander/table_store.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// The fleet, with the versions of the rows that it was read from.
struct fleet_snapshot {
    fleet view;
    std::map<std::string, std::uint64_t> versions; ///< By row key; rows that do not exist are absent.

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;
};

/// Combines the platform's host list with the rows of the table. Replica rows that can't be parsed are
/// skipped; hosts with claim rows that can't be parsed are not free.
[[nodiscard]] fleet_snapshot make_snapshot(std::vector<host_record> hosts,
                                           std::span<const table_row> replica_rows,
                                           std::span<const table_row> claim_rows,
                                           std::span<const table_row> drain_rows);

/// The writes for a step: the replica's row, and the rows of all hosts that it gains, keeps or loses. They
/// must be committed atomically. Hosts that are released stay quarantined until the write of
/// `host_release_write` is committed.
[[nodiscard]] std::vector<table_write> writes_for(const placement_step& step, const fleet_snapshot& snapshot,
                                                  std::string_view shard, const std::string& model);

/// The write that ends a host's quarantine, so that it is free again.
[[nodiscard]] table_write host_release_write(const std::string& host, const fleet_snapshot& snapshot);

} // namespace coriander
