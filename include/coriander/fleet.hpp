#pragma once

#include "coriander/host.hpp"
#include "coriander/replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A host with all state that placement depends on.
struct fleet_host {
    host_record record;
    std::optional<host_claim> claim;   ///< Its row in the table; hosts without one are free.
    bool lost = false;                 ///< Unresponsive for longer than the timeout.
    bool drained = false;              ///< An operator has requested that it be drained.
    std::optional<host_report> report; ///< The last report, if still valid.

    /// Whether a new replica may use it: it has a valid report, no claim and no
    /// replica, and is neither lost, leaving nor drained.
    [[nodiscard]] bool is_free() const noexcept
    {
        return this->record.kind == host_kind::engine && this->record.state == host_state::live &&
               !this->claim && !this->lost && !this->drained && this->report && this->report->replica.empty();
    }

    /// Whether a replica that it belongs to may keep it.
    [[nodiscard]] bool is_staying() const noexcept
    {
        return this->record.state == host_state::live && !this->drained;
    }
};

/// The input of placement at one point in time.
struct fleet {
    std::vector<fleet_host> hosts;        ///< Sorted by id.
    std::vector<replica_record> replicas; ///< Rows of the table, sorted by id.

    /// Returns null if there is none.
    [[nodiscard]] const fleet_host* find_host(const std::string& id) const;
    [[nodiscard]] fleet_host* find_host(const std::string& id);
    [[nodiscard]] const replica_record* find_replica(const std::string& id) const;
};

} // namespace coriander
