#pragma once

#include "coriander/replica_picker.hpp"
#include "coriander/strike_table.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/// Names a request within one router.
using ticket_id = std::uint64_t;

/// What routing needs to know of a request.
struct route_request {
    ticket_id ticket = 0;
    std::string customer;
    double weight = 1.0;
    time_ms deadline;               ///< When the caller is given a final answer at the latest.
    request_digest digest;          ///< Of customer and body.
    std::string prefix;             ///< What the prompt begins with; empty: no affinity.
    std::vector<std::string> tried; ///< Targets that already failed it.
};

/// A request with the target that it goes to.
struct route_assignment {
    ticket_id ticket = 0;
    std::string target;
    std::string address;
    std::uint64_t generation = 0;
    route_reason reason = route_reason::only_one;
    double score = 0.0;
    bool on_probation = false; ///< Runs alone because it is suspected.
};

/// Why a request is not run.
enum class refusal_reason {
    no_target,     ///< No target serves now.
    queue_full,    ///< Too many of the customer's requests wait already.
    wait_too_long, ///< Its turn would come after the limit.
    poisonous,     ///< It killed targets while it ran alone.
    expired,       ///< Its time ran out while it waited.
};

[[nodiscard]] const char* name_of(refusal_reason reason) noexcept;

/// What becomes of a submitted request.
enum class admission_verdict { dispatched, queued, refused };

/// The verdict with what belongs to it.
struct admission {
    admission_verdict verdict = admission_verdict::refused;
    route_assignment assignment;                       ///< When dispatched.
    refusal_reason reason = refusal_reason::no_target; ///< When refused.
    time_ms retry_after;                               ///< When refused.
};

/// How an attempt on a target ended.
enum class attempt_outcome {
    succeeded,
    overloaded,  ///< The target refused it.
    failed,      ///< The target answered with an error or broke off.
    target_died, ///< The target is gone.
    abandoned,   ///< This side gave it up; says nothing about the target.
};

[[nodiscard]] const char* name_of(attempt_outcome outcome) noexcept;

} // namespace coriander
