#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/host_inquiries.hpp"
#include "gateway/host_staging.hpp"
#include "gateway/order_history.hpp"
#include "gateway/replica_timing.hpp"

#include <string>

namespace coriander {

/// What a controller remembers of its work on one domain.
struct domain_work {
    bool is_committing = false;
    time_ms commit_again_at;
    time_ms warm_again_at;
    std::string due; ///< What was due when it was last looked at.
    time_ms due_since;
    order_history orders;
    host_staging staging;
    host_inquiries inquiries;
    replica_timing timing;
    std::string free_state; ///< As it was logged last.
};

} // namespace coriander
