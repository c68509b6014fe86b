#pragma once

#include "coriander/table_store.hpp"
#include "platform_table.hpp"

#include <deque>
#include <utility>
#include <vector>

namespace coriander {

/// What happens to one commit.
enum class commit_fault {
    none,
    outage,            ///< Surely not sent.
    answer_lost,       ///< Takes effect; the answer is lost.
    request_lost,      ///< Does not take effect; nobody is told.
    takes_effect_late, ///< The answer is lost; takes effect when `apply_late_commits` is called.
};

/// A table whose commits meet the faults that a test lines up. Reads fail while `down`.
class faulty_table {
public:
    explicit faulty_table(platform_table& rows) : rows{rows} {}

    std::deque<commit_fault> faults; ///< For the next commits; none when empty.
    bool down = false;
    int commits = 0;

    result<std::optional<table_row>> read(std::string_view key)
    {
        if (this->down) {
            return fail(error_kind::unavailable, "down");
        }
        return this->rows.read(key);
    }

    result<std::vector<table_row>> scan(std::string_view prefix)
    {
        if (this->down) {
            return fail(error_kind::unavailable, "down");
        }
        return this->rows.scan(prefix);
    }

    commit_outcome commit(std::span<const table_write> writes)
    {
        ++this->commits;
        auto fault = this->down ? commit_fault::outage : commit_fault::none;
        if (!this->faults.empty()) {
            fault = this->faults.front();
            this->faults.pop_front();
        }
        switch (fault) {
        case commit_fault::none:
            return this->rows.commit(writes);
        case commit_fault::outage:
            return {commit_state::not_applied, {}, 0};
        case commit_fault::answer_lost:
            (void)this->rows.commit(writes);
            return {commit_state::unknown, {}, 0};
        case commit_fault::request_lost:
            return {commit_state::unknown, {}, 0};
        case commit_fault::takes_effect_late:
            this->late.emplace_back(writes.begin(), writes.end());
            return {commit_state::unknown, {}, 0};
        }
        return {commit_state::unknown, {}, 0};
    }

    /// Lets all late commits take effect, as far as their conditions still hold.
    void apply_late_commits()
    {
        for (const auto& writes : std::exchange(this->late, {})) {
            (void)this->rows.commit(writes);
        }
    }

private:
    platform_table& rows;
    std::vector<std::vector<table_write>> late;
};

static_assert(table_store<faulty_table>);

} // namespace coriander
