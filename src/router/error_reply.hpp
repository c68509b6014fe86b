#pragma once

#include "coriander/time_ms.hpp"
#include "http/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// Whether a request that got an error has run.
enum class run_state {
    not_run, ///< It surely did not run and will not.
    unknown, ///< It may have run.
    failed,  ///< It ran at least in part, and did not end well.
};

/// An error as callers see it.
struct caller_error {
    int status = 503;
    std::string_view type; ///< Stable; for programs.
    run_state run = run_state::not_run;
    std::string message; ///< For people.
    std::optional<time_ms> retry_after;
};

/// The error's JSON object as text.
[[nodiscard]] std::string error_json(const caller_error& error);

/// A whole response, with `Retry-After` in seconds, rounded up.
[[nodiscard]] http_response error_response(const caller_error& error);

} // namespace coriander
