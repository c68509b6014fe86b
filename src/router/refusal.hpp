#pragma once

#include "coriander/claim.hpp"
#include "coriander/route_request.hpp"
#include "router/error_reply.hpp"

namespace coriander {

/// The answer to a request that the dispatcher refuses.
[[nodiscard]] caller_error error_for(refusal_reason reason, time_ms retry_after);

/// The answer to a request whose claim was not granted. None of them but `store_down` says "not run" of the
/// key: an earlier request with it did run or may have.
[[nodiscard]] caller_error error_for(claim_verdict verdict);

/// The answer while the configuration is not known yet, or only just: what it names may exist all the same.
[[nodiscard]] caller_error starting_error();

/// The name in log lines.
[[nodiscard]] const char* name_of(claim_verdict verdict) noexcept;

} // namespace coriander
