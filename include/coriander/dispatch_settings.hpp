#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace coriander {

/// How one service's requests are dispatched.
struct dispatch_settings {
    std::uint32_t target_capacity = 16; ///< Requests that a target runs at once.
    time_ms first_token_limit{2000};
    time_ms queue_limit{1000}; ///< The longest wait, predicted or not, before a request is given up.
    std::size_t queue_per_customer = 256;
};

} // namespace coriander
