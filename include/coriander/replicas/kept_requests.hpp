#pragma once

#include <string>

namespace coriander {

/// Report of a daemon that it has requests on a replica that is being dissolved, which can't go on elsewhere.
struct kept_requests {
    std::string row_key; ///< Of the replica's domain.
    std::string replica;
};

} // namespace coriander
