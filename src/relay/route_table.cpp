#include "coriander/relay/route_table.hpp"

namespace coriander {

route_table::route_table(relay_manifest manifest) : declarations{std::move(manifest)}
{
    for (const auto& route : this->declarations.routes) {
        this->routes[route.host_name][route.path_prefix] = &route;
    }
    for (const auto& customer : this->declarations.customers) {
        for (const auto& key : customer.keys) {
            this->customers[key] = &customer;
        }
    }
}

const relay_route* route_table::find_route(std::string_view host_name, std::string_view target) const
{
    const auto host = this->routes.find(host_name.substr(0, host_name.find(':')));
    if (host == this->routes.end()) {
        return nullptr;
    }
    auto prefix = target.substr(0, target.find('?'));
    for (auto slash = prefix.rfind('/'); slash != std::string_view::npos; slash = prefix.rfind('/')) {
        const auto route = host->second.find(prefix.substr(0, slash + 1));
        if (route != host->second.end()) {
            return route->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

const relay_customer* route_table::find_customer(std::string_view key) const
{
    const auto found = this->customers.find(key);
    return found == this->customers.end() ? nullptr : found->second;
}

const relay_service* route_table::find_service(const std::string& name) const
{
    const auto found = this->declarations.services.find(name);
    return found == this->declarations.services.end() ? nullptr : &found->second;
}

const std::string& choose_service(const relay_route& route, double draw)
{
    double total = 0.0;
    for (const auto& candidate : route.services) {
        total += candidate.weight;
    }
    double remaining = draw * total;
    for (const auto& candidate : route.services) {
        remaining -= candidate.weight;
        if (remaining < 0.0) {
            return candidate.service;
        }
    }
    return route.services.back().service;
}

} // namespace coriander
