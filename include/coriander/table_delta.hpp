#pragma once

#include "coriander/row_version.hpp"
#include "coriander/time_ms.hpp"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A changed row of a table. No value means that the row was deleted.
struct changed_row {
    std::string key;
    std::optional<std::string> value; ///< Decoded bytes.
    row_version version;
};

/// The rows of a table that changed between two versions, as read by one daemon and sent to the others.
struct table_delta {
    std::string table;
    /// A reader that knows the table up to this version can apply the delta without a gap.
    row_version from;
    row_version to; ///< Of the same era as `from`.
    /// For this long, deleted rows may still be written again: what the sender lacks of the time of contact
    /// with the store after which no deletion is deferred.
    time_ms grace;
    std::vector<changed_row> rows;
};

} // namespace coriander
