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
    outage,            ///< Not sent.
    answer_lost,       ///< Takes effect, but the response is lost.
    request_lost,      ///< Does not take effect; no response.
    takes_effect_late, ///< The response is lost; takes effect when `apply_late_commits` is called.
};

/// A table that injects faults into commits, in the order given in `faults`. Reads fail while `down`.
class faulty_table {
public:
    explicit faulty_table(platform_table& rows) : rows{rows} {}

    std::deque<commit_fault> faults; ///< The faults of the next commits; no fault when empty.
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
            this->late_commits.emplace_back(writes.begin(), writes.end());
            return {commit_state::unknown, {}, 0};
        }
        return {commit_state::unknown, {}, 0};
    }

    /// Applies all late commits; each takes effect only if its expected versions still match.
    void apply_late_commits()
    {
        for (const auto& writes : std::exchange(this->late_commits, {})) {
            (void)this->rows.commit(writes);
        }
    }

private:
    platform_table& rows;
    std::vector<std::vector<table_write>> late_commits;
};

static_assert(table_store<faulty_table>);

} // namespace coriander
