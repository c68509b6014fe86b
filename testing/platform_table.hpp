#pragma once

#include "coriander/table_store.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// An in-memory transactional table that satisfies the concept `table_store`. Thread-safe.
class platform_table {
public:
    [[nodiscard]] result<std::optional<table_row>> read(std::string_view key);
    [[nodiscard]] result<std::vector<table_row>> scan(std::string_view prefix);
    [[nodiscard]] commit_outcome commit(std::span<const table_write> writes);

private:
    [[nodiscard]] table_row row_at(const std::string& key) const;

    std::mutex mutex; ///< Guards the members below.
    std::map<std::string, table_row> rows;
    std::uint64_t last_version = 0;
};

static_assert(table_store<platform_table>);

} // namespace coriander
