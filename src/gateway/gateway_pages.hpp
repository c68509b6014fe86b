#pragma once

#include "coriander/time_ms.hpp"

#include <functional>
#include <string>
#include <vector>

namespace coriander {

/// Words of the pages that a deployment's callers and platform ask for.
struct gateway_pages {
    std::string readiness_path = "/readyz";
    std::string directory_path = "/v1/entry-hosts";
    std::string metrics_path = "/metrics";
    /// Text of the directory's answer, out of the addresses of entry hosts and the time to keep them.
    std::function<std::string(const std::vector<std::string>&, time_ms)> directory_text;
};

} // namespace coriander
