#pragma once

#include "coriander/settings.hpp"

#include <functional>
#include <string>

namespace coriander {

/// The `main` of a daemon: reads `--settings`, opens the log and runs `run` with the settings. Errors that
/// `run` throws are printed. Returns the exit code.
[[nodiscard]] int daemon_main(int argc, char** argv, const std::string& name, const std::string& summary,
                              const std::function<void(const settings&)>& run);

} // namespace coriander
