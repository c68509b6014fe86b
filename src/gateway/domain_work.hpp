#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/host_inquiries.hpp"
#include "gateway/host_staging.hpp"
#include "gateway/order_history.hpp"
#include "gateway/replica_timing.hpp"

#include <string>

namespace coriander {

/// A controller's state for one domain.
struct domain_work {
    bool is_committing = false;
    bool is_outdated = false; ///< Waits for a newer record, as logged last.
    time_ms next_commit_at;
    time_ms next_warming_at;
    std::string due_signature; ///< Describes the work that was due at the last check.
    time_ms due_since;
    order_history orders;
    host_staging staging;
    host_inquiries status_requests;
    replica_timing timing;
    std::string logged_free_hosts; ///< Models held by the free hosts, as logged last.
};

} // namespace coriander
