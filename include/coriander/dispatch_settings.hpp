#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>

namespace coriander {

/// Settings for dispatching one service's requests.
struct dispatch_settings {
    std::uint32_t target_capacity = 16; ///< Maximum number of requests that a target runs concurrently.
    time_ms first_token_limit{
        2000}; ///< A longer time to the first token lowers a target's concurrency limit.
    time_ms queue_limit{
        1000}; ///< Maximum time in the queue, predicted or actual, before a request is refused.
    std::size_t queue_per_customer = 256; ///< Maximum number of queued requests of one customer.
};

} // namespace coriander
