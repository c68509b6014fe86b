#include "platform_table.hpp"

namespace coriander {

table_row platform_table::row_at(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? table_row{key, {}, 0} : found->second;
}

result<std::optional<table_row>> platform_table::read(std::string_view key)
{
    const std::scoped_lock lock{this->mutex};
    const auto row = this->row_at(std::string{key});
    return row.version == 0 ? std::optional<table_row>{} : std::optional{row};
}

result<std::vector<table_row>> platform_table::scan(std::string_view prefix)
{
    const std::scoped_lock lock{this->mutex};
    std::vector<table_row> found;
    for (auto row = this->rows.lower_bound(std::string{prefix}); row != this->rows.end(); ++row) {
        if (!row->first.starts_with(prefix)) {
            break;
        }
        found.push_back(row->second);
    }
    return found;
}

commit_outcome platform_table::commit(std::span<const table_write> writes)
{
    const std::scoped_lock lock{this->mutex};
    commit_outcome outcome{commit_state::applied, {}, 0};
    for (const auto& write : writes) {
        const auto row = this->row_at(write.key);
        if (row.version != write.expected_version) {
            outcome.state = commit_state::conflict;
            outcome.current.push_back(row);
        }
    }
    if (outcome.state == commit_state::conflict) {
        return outcome;
    }
    outcome.version = ++this->last_version;
    for (const auto& write : writes) {
        if (write.value) {
            this->rows[write.key] = {write.key, *write.value, outcome.version};
        }
        else {
            this->rows.erase(write.key);
        }
    }
    return outcome;
}

} // namespace coriander
