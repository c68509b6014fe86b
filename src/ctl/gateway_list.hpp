#pragma once

#include "runtime/program.hpp"

#include <string>

namespace coriander {

/// Prints the gateways that the gateway at `address` (`IP:port` of its metrics) knows to be alive, with their
/// builds and features.
[[nodiscard]] exit_code list_gateways(const std::string& address);

} // namespace coriander
