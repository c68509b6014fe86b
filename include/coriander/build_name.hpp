#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace coriander {

/// The longest name of a build that a daemon keeps of a peer: a version and a commit id of 40 digits fit.
inline constexpr std::size_t max_build_name_length = 64;

/// The name of the build that runs: its version and, if known when it was configured, the id of its commit,
/// as in `0.1.0+8e287f1`.
[[nodiscard]] const std::string& own_build_name();

/// The name that a peer reported, shortened, and without characters that would need quotes in log lines and
/// metrics.
[[nodiscard]] std::string checked_build_name(std::string_view reported);

} // namespace coriander
