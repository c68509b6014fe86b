#pragma once

#include "coriander/membership.hpp"
#include "coriander/message_mac.hpp"

namespace coriander {

/// Another gateway that takes requests from one that is cut off.
struct relaying_gateway {
    member_identity identity;
    mac_key key{}; ///< For the marks of requests that are passed on to it.
};

} // namespace coriander
