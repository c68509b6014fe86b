#include "router/service_routes.hpp"

namespace coriander {
namespace {

dispatch_settings settings_for(const profile& rules)
{
    dispatch_settings settings;
    settings.target_capacity = rules.max_concurrency;
    settings.first_token_limit = rules.first_token_limit;
    settings.queue_limit = rules.queue_limit;
    return settings;
}

} // namespace

std::string replica_generation_key(const std::string& replica, std::uint64_t generation)
{
    return replica + "@" + std::to_string(generation);
}

std::shared_ptr<service_route> service_routes::find(const std::string& service) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->routes.find(service);
    return found == this->routes.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<service_route>> service_routes::all() const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::shared_ptr<service_route>> list;
    for (const auto& [service, route] : this->routes) {
        list.push_back(route);
    }
    return list;
}

void service_routes::configure(const configuration& config)
{
    const std::scoped_lock lock{this->mutex};
    std::map<std::string, std::shared_ptr<service_route>> kept;
    for (const auto& service : config.services) {
        const auto* rules = config.find_profile(service.profile);
        auto& route = kept[service.name];
        const auto found = this->routes.find(service.name);
        if (found == this->routes.end()) {
            route = std::make_shared<service_route>(settings_for(*rules));
            continue;
        }
        route = found->second;
        const std::scoped_lock route_lock{route->mutex};
        route->requests.set_settings(settings_for(*rules));
    }
    this->routes = std::move(kept);
}

} // namespace coriander
