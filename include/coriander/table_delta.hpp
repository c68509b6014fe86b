#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A row of a table. Without a value it was deleted.
struct changed_row {
    std::string key;
    std::optional<std::string> value; ///< Decoded bytes.
    std::uint64_t version = 0;
};

/// What changed in a table between two versions, as one daemon read it and tells the others.
struct table_delta {
    std::string table;
    std::uint64_t from = 0; ///< Whoever knows the table up to here misses nothing.
    std::uint64_t to = 0;
    time_ms grace; ///< The table has just come back: rows that vanish may be entered anew for so long.
    std::vector<changed_row> rows;
};

} // namespace coriander
