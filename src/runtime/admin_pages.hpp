#pragma once

#include "http/http_server.hpp"
#include "runtime/metrics.hpp"

#include <functional>

namespace coriander {

/// The HTTP pages that every daemon serves: `/healthz`, `/readyz`, `/metrics` and `/admin/decisions?text=T`.
/// Thread-safe.
class admin_pages {
public:
    /// `ready` returns whether the program accepts requests; `refresh` updates gauges before each scrape.
    admin_pages(metrics& registry, std::function<bool()> ready, std::function<void()> refresh);

    /// If the request is for one of the pages, answers it and returns true.
    [[nodiscard]] bool handle(const http_request& request, http_reply& reply) const;

private:
    metrics& registry;
    std::function<bool()> ready;
    std::function<void()> refresh;
};

} // namespace coriander
