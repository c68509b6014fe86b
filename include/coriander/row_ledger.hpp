#pragma once

#include "coriander/row_version.hpp"
#include "coriander/table_delta.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace coriander {

/// How an update of a row compares with what is known of the row.
enum class row_verdict {
    newer,    ///< It reports a later state.
    known,    ///< It reports the known state.
    outdated, ///< The row has changed since.
};

/// The versions as of which the rows of a table are known.
///
/// Updates of a row overtake each other: an answer of the store may arrive after a peer's delta that
/// was read later, and deltas of two peers in any order. All sources are judged here, so that what is known
/// of a row never goes back. Not thread-safe.
class row_ledger {
public:
    /// Judges an update. A change reports the row's state as of its own version; a page of rows reports the
    /// states of its rows, and of missing ones, `as_of` the page's version. Precondition: `as_of` is not
    /// lower than the version of the change.
    [[nodiscard]] row_verdict judge(const changed_row& change, row_version as_of) const
    {
        const auto existing = this->existing_rows.find(change.key);
        if (existing == this->existing_rows.end()) {
            const auto known = this->known_as_of(change.key);
            if (change.value) {
                return as_of < known ? row_verdict::outdated : row_verdict::newer;
            }
            return as_of > known ? row_verdict::newer : row_verdict::known;
        }
        if (change.version > existing->second) {
            return row_verdict::newer;
        }
        return change.value && change.version == existing->second ? row_verdict::known
                                                                  : row_verdict::outdated;
    }

    /// Records an update. Precondition: it is not outdated.
    void record(const changed_row& change, time_ms now)
    {
        if (change.value) {
            this->existing_rows[change.key] = change.version;
            this->deletions.erase(change.key);
            return;
        }
        this->existing_rows.erase(change.key);
        std::erase_if(this->deletions, [&](const auto& entry) { return now - entry.second.at > max_age; });
        if (change.version > this->complete_version) {
            this->deletions[change.key] = {change.version, now};
        }
    }

    /// Notes that the states of all rows are known as of `version` or later. Lower versions than the known
    /// one have no effect.
    void advance(row_version version)
    {
        if (version > this->complete_version) {
            this->complete_version = version;
            std::erase_if(this->deletions,
                          [&](const auto& entry) { return entry.second.version <= version; });
        }
    }

    /// Notes that the store gives out versions anew without a new era: any update is newer from now on.
    void forget_versions()
    {
        this->complete_version = {};
        this->deletions.clear();
        for (auto& [key, version] : this->existing_rows) {
            version = {};
        }
    }

    /// The version as of which the states of all rows are known.
    [[nodiscard]] row_version version() const noexcept { return this->complete_version; }

    /// The version as of which the state of the row is known.
    [[nodiscard]] row_version known_as_of(const std::string& key) const
    {
        if (const auto existing = this->existing_rows.find(key); existing != this->existing_rows.end()) {
            return existing->second;
        }
        const auto deleted = this->deletions.find(key);
        return deleted == this->deletions.end() ? this->complete_version
                                                : std::max(deleted->second.version, this->complete_version);
    }

    /// The version of an existing row; empty if the row is not known to exist.
    [[nodiscard]] std::optional<row_version> find(const std::string& key) const
    {
        const auto existing = this->existing_rows.find(key);
        return existing == this->existing_rows.end() ? std::nullopt : std::optional{existing->second};
    }

    /// The existing rows with their versions, by key.
    [[nodiscard]] const std::map<std::string, row_version>& existing() const noexcept
    {
        return this->existing_rows;
    }

    /// How many deletions are remembered: those that `version()` does not cover.
    [[nodiscard]] std::size_t deletion_count() const noexcept { return this->deletions.size(); }

private:
    struct deletion {
        row_version version;
        time_ms at; ///< When it was recorded.
    };

    /// Longer than an answer of the store or a delta is under way.
    static constexpr time_ms max_age = 60_s;

    row_version complete_version;
    std::map<std::string, row_version> existing_rows;
    std::map<std::string, deletion> deletions;
};

} // namespace coriander
