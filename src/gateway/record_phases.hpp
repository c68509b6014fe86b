#pragma once

#include "coriander/replicas/domain_record.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace coriander {

/// Whether any replica of the record is in this phase.
[[nodiscard]] inline bool has_phase(const domain_record& record, replica_phase phase)
{
    return std::any_of(record.replicas.begin(), record.replicas.end(),
                       [&](const replica_entry& one) { return one.phase == phase; });
}

/// Whether any replica of the record is not open, so that there is work to do in its domain.
[[nodiscard]] inline bool has_unfinished_replica(const domain_record& record)
{
    return std::any_of(record.replicas.begin(), record.replicas.end(),
                       [](const replica_entry& one) { return one.phase != replica_phase::open; });
}

/// Whether a replica in this phase gets no new requests, so that it has none once the running ones have
/// ended.
[[nodiscard]] constexpr bool ends_requests(replica_phase phase) noexcept
{
    return phase == replica_phase::retiring || phase == replica_phase::dissolving;
}

/// Whether a report of the host is needed in the current phase of its replica.
[[nodiscard]] inline bool needs_status(const replica_entry& replica, const std::string& host,
                                       const std::vector<std::string>& doubts)
{
    switch (replica.phase) {
    case replica_phase::open:
        return std::find(doubts.begin(), doubts.end(), host) != doubts.end();
    case replica_phase::retiring:
        return host == replica.hosts.front().id; // The leader reports whether requests are left.
    default:
        return true;
    }
}

} // namespace coriander
