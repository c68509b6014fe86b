#pragma once

#include "coriander/claim.hpp"
#include "coriander/route_request.hpp"
#include "router/error_reply.hpp"

namespace coriander {

/// The error for a request that the dispatcher refuses.
[[nodiscard]] caller_error error_for(refusal_reason reason, time_ms retry_after);

/// The error for a request whose claim was not granted. Except for `store_down` and `body_conflict` its run
/// state is `unknown`: an earlier request with the same key ran or may have run.
[[nodiscard]] caller_error error_for(claim_verdict verdict);

/// The error while the router has no configuration yet or has not yet applied it: services and customers that
/// it does not know may exist.
[[nodiscard]] caller_error starting_error();

/// The verdict's name in log lines.
[[nodiscard]] const char* name_of(claim_verdict verdict) noexcept;

} // namespace coriander
