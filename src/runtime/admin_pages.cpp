#include "runtime/admin_pages.hpp"

#include "core/json_text.hpp"
#include "runtime/log.hpp"

namespace coriander {
namespace {

constexpr std::size_t max_lines = 100;

} // namespace

admin_pages::admin_pages(metrics& registry, std::function<bool()> ready, std::function<void()> refresh)
    : registry{registry}, ready{std::move(ready)}, refresh{std::move(refresh)}
{
}

bool admin_pages::handle(const http_request& request, http_reply& reply) const
{
    if (request.path == "/healthz") {
        reply.send({200, "text/plain", "alive\n", {}});
        return true;
    }
    if (request.path == "/readyz") {
        const bool is_ready = this->ready();
        reply.send({is_ready ? 200 : 503, "text/plain", is_ready ? "ready\n" : "not ready\n", {}});
        return true;
    }
    if (request.path == "/metrics") {
        this->refresh();
        reply.send({200, "text/plain; version=0.0.4", this->registry.text(), {}});
        return true;
    }
    if (request.path == "/admin/decisions") {
        json_object response{{"lines", recent_lines(request.query_value("text"), max_lines)}};
        reply.send({200, "application/json", to_text(response), {}});
        return true;
    }
    return false;
}

} // namespace coriander
