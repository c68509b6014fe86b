#include "router/router_context.hpp"

#include "router/request_session.hpp"

#include <asio/post.hpp>

namespace coriander {

std::string router_context::new_unique_id()
{
    static std::mutex mutex; // A leaf lock.
    static auto random = seeded_generator();
    const std::scoped_lock lock{mutex};
    return draw_token(random);
}

void router_context::dispatch_queued(service_route& route)
{
    std::vector<route_assignment> ready;
    {
        const std::scoped_lock lock{route.mutex};
        ready = route.requests.take_ready(this->clock.now());
    }
    for (auto& assignment : ready) {
        const auto session = this->sessions.find(assignment.ticket);
        if (!session) {
            const std::scoped_lock lock{route.mutex};
            route.requests.finish(assignment.ticket, attempt_outcome::abandoned, this->clock.now());
            continue;
        }
        asio::post(this->workers,
                   [session, assignment = std::move(assignment)] { session->on_assigned(assignment); });
    }
}

} // namespace coriander
