#pragma once

#include "coriander/time_ms.hpp"
#include "http/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// Whether a request that ended with an error has run.
enum class run_state {
    not_run, ///< It did not run and will not run.
    unknown, ///< It may have run.
    failed,  ///< It ran at least in part, but did not complete.
};

/// An error reported to the caller.
struct caller_error {
    int status = 503;
    std::string_view type; ///< Stable identifier, for programs.
    run_state run = run_state::not_run;
    std::string message; ///< Human-readable.
    std::optional<time_ms> retry_after;
};

/// The response body for the error, as JSON.
[[nodiscard]] std::string error_json(const caller_error& error);

/// The HTTP response for the error. `Retry-After` is in whole seconds, rounded up.
[[nodiscard]] http_response error_response(const caller_error& error);

} // namespace coriander
