#pragma once

#include "coriander/time_ms.hpp"

#include <functional>
#include <string>
#include <vector>

namespace coriander {

/// Paths and format of the pages that a deployment's callers and platform request.
struct gateway_pages {
    std::string readiness_path = "/readyz";
    std::string directory_path = "/v1/entry-hosts";
    std::string metrics_path = "/metrics";
    std::string gateways_path = "/gateways";
    /// Formats the directory's response from the entry hosts' addresses and their TTL.
    std::function<std::string(const std::vector<std::string>&, time_ms)> directory_text;
};

} // namespace coriander
