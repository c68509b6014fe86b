#pragma once

#include "coriander/host.hpp"
#include "coriander/replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A host as placement sees it.
struct fleet_host {
    host_record record;
    std::optional<host_claim> claim;   ///< Its row in the table; none: free.
    bool lost = false;                 ///< Silent for longer than hosts are waited for.
    bool drained = false;              ///< An operator wants it empty.
    std::optional<host_report> report; ///< The last fresh report.

    /// Whether a new replica may take it: known to be healthy, empty and staying.
    [[nodiscard]] bool is_free() const noexcept
    {
        return this->record.kind == host_kind::engine && this->record.state == host_state::live &&
               !this->claim && !this->lost && !this->drained && this->report && this->report->replica.empty();
    }

    /// Whether a replica may keep it.
    [[nodiscard]] bool is_staying() const noexcept
    {
        return this->record.state == host_state::live && !this->drained;
    }
};

/// All that placement looks at, at one moment.
struct fleet {
    std::vector<fleet_host> hosts;        ///< Sorted by id.
    std::vector<replica_record> replicas; ///< Rows of the table, sorted by id.

    /// Null when there is none.
    [[nodiscard]] const fleet_host* find_host(const std::string& id) const;
    [[nodiscard]] fleet_host* find_host(const std::string& id);
    [[nodiscard]] const replica_record* find_replica(const std::string& id) const;
};

} // namespace coriander
