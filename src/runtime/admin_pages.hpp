#pragma once

#include "http/http_server.hpp"
#include "runtime/metrics.hpp"

#include <functional>

namespace coriander {

/// The pages that every program serves: `/healthz`, `/readyz`, `/metrics` and `/admin/decisions?text=T`.
/// Thread-safe.
class admin_pages {
public:
    /// `ready` tells whether the program takes work; `refresh` sets gauges before metrics are shown.
    admin_pages(metrics& numbers, std::function<bool()> ready, std::function<void()> refresh);

    /// Answers the request if it is for one of the pages. Returns whether it was.
    [[nodiscard]] bool handle(const http_request& request, http_reply& reply) const;

private:
    metrics& numbers;
    std::function<bool()> ready;
    std::function<void()> refresh;
};

} // namespace coriander
