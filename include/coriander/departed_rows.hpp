#pragma once

#include "coriander/row_version.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Rows of a table that were deleted a short time ago.
///
/// A store that is restored from an earlier copy shows such rows again, as they were before their deletion.
/// They have not been written since, so that what they describe may not exist any more. Not thread-safe.
class departed_rows {
public:
    /// Records the deletion of a row whose last version was `last`. `deletion` is of the era in which the
    /// deletion was read.
    void add(const std::string& key, row_version last, row_version deletion, time_ms now)
    {
        std::erase_if(this->rows, [&](const auto& entry) { return now - entry.second.deleted_at > max_age; });
        if (this->rows.size() < max_rows || this->rows.contains(key)) {
            this->rows[key] = {last, deletion.era, now};
        }
    }

    /// Forgets a row, which is written again.
    void remove(const std::string& key) { this->rows.erase(key); }

    /// Whether a row of this version was written before its deletion. After a restore the versions that
    /// follow the copy's are given out again, so that a row written since may be taken for an earlier one,
    /// but not the other way round.
    [[nodiscard]] bool is_stale(const std::string& key, row_version version) const
    {
        const auto found = this->rows.find(key);
        return found != this->rows.end() && version.era > found->second.deletion_era &&
               version.number <= found->second.last.number;
    }

private:
    struct departed_row {
        row_version last;
        std::uint64_t deletion_era = 0;
        time_ms deleted_at;
    };

    static constexpr time_ms max_age = 60_s; ///< Copies are some seconds old.
    static constexpr std::size_t max_rows = 4096;

    std::map<std::string, departed_row> rows;
};

} // namespace coriander
