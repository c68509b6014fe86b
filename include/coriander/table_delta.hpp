#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A changed row of a table. No value means that the row was deleted.
struct changed_row {
    std::string key;
    std::optional<std::string> value; ///< Decoded bytes.
    std::uint64_t version = 0;
};

/// The rows of a table that changed between two versions, as read by one daemon and sent to the others.
struct table_delta {
    std::string table;
    std::uint64_t from =
        0; ///< A reader that knows the table up to this version can apply the delta without a gap.
    std::uint64_t to = 0;
    time_ms
        grace; ///< Set after an outage of the table: for this long, deleted rows may still be written again.
    std::vector<changed_row> rows;
};

} // namespace coriander
