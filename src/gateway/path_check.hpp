#pragma once

#include "coriander/replicas/listed_host.hpp"

#include <functional>

namespace coriander {

/// Receives whether this daemon has a path to other hosts of the service, so that evidence against the host
/// counts.
using on_path_checked = std::function<void(bool has_path)>;

/// Finds out whether what looks like the loss of a host may be the loss of this daemon's own path. Calls the
/// function once, possibly at once.
using path_check = std::function<void(const listed_host& suspect, on_path_checked done)>;

/// A check that takes the path for granted.
[[nodiscard]] inline path_check without_path_check()
{
    return [](const listed_host& /*suspect*/, const on_path_checked& done) { done(true); };
}

} // namespace coriander
