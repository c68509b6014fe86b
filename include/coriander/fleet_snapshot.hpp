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

/// The fleet with the versions of the rows it was read from.
struct fleet_snapshot {
    fleet view;
    std::map<std::string, std::uint64_t> versions; ///< By row key; absent: the row does not exist.

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;
};

/// Joins the platform's host list with the table's rows. Rows that can't be read are left out of `view`, but
/// keep their hosts from being free.
[[nodiscard]] fleet_snapshot make_snapshot(std::vector<host_record> hosts,
                                           std::span<const table_row> replica_rows,
                                           std::span<const table_row> claim_rows,
                                           std::span<const table_row> drain_rows);

/// The writes that carry out a step: the replica's row, and the row of each host that it gains, keeps or
/// loses. All must be committed together. Hosts that are given back stay quarantined until
/// `host_release_write`.
[[nodiscard]] std::vector<table_write> writes_for(const placement_step& step, const fleet_snapshot& snapshot,
                                                  std::string_view shard, const std::string& model);

/// The write that lets a quarantined host be used again.
[[nodiscard]] table_write host_release_write(const std::string& host, const fleet_snapshot& snapshot);

} // namespace coriander
