#pragma once

#include "coriander/replica_picker.hpp"
#include "coriander/strike_table.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/// Identifies a request within one router.
using ticket_id = std::uint64_t;

/// The properties of a request that routing depends on.
struct route_request {
    ticket_id ticket = 0;
    std::string customer;
    double weight = 1.0;
    time_ms deadline;               ///< Latest time for a final answer to the caller.
    request_digest digest;          ///< Digest of customer and body.
    std::string prefix;             ///< Beginning of the prompt; empty for no affinity.
    std::vector<std::string> tried; ///< Targets on which an attempt already failed.
};

/// A request with the target that it is assigned to.
struct route_assignment {
    ticket_id ticket = 0;
    std::string target;
    std::string address;
    std::uint64_t generation = 0;
    route_reason reason = route_reason::only_one;
    double score = 0.0;
    bool on_probation = false; ///< Runs alone because it is a suspect.
};

/// Why a request is refused.
enum class refusal_reason {
    no_target,     ///< No target is serving.
    queue_full,    ///< The customer has too many queued requests.
    wait_too_long, ///< The predicted wait exceeds the queue limit or the deadline.
    poisonous,     ///< It crashed targets while it ran alone.
    expired,       ///< Reached its deadline or the queue limit while queued.
};

[[nodiscard]] const char* name_of(refusal_reason reason) noexcept;

/// How a submitted request is handled.
enum class admission_verdict { dispatched, queued, refused };

/// A verdict with its data.
struct admission {
    admission_verdict verdict = admission_verdict::refused;
    route_assignment assignment;                       ///< Set if dispatched.
    refusal_reason reason = refusal_reason::no_target; ///< Set if refused.
    time_ms retry_after;                               ///< Set if refused.
};

/// How an attempt on a target ended.
enum class attempt_outcome {
    succeeded,
    overloaded,  ///< The target refused it.
    failed,      ///< The target replied with an error or closed the stream early.
    target_died, ///< The target died.
    abandoned,   ///< Cancelled by the router; no information about the target.
};

[[nodiscard]] const char* name_of(attempt_outcome outcome) noexcept;

} // namespace coriander
