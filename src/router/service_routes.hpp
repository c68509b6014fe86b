#pragma once

#include "coriander/configuration.hpp"
#include "coriander/dispatcher.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// One service's dispatcher with its lock.
struct service_route {
    using dispatcher_type = dispatcher<std::mt19937_64>;

    explicit service_route(const dispatch_settings& settings) : requests{settings, seeded_generator()} {}

    std::mutex mutex; ///< Guards the members below. Taken after a session's lock, before the leaves.
    dispatcher_type requests;
    std::set<std::string> unhealthy; ///< `replica@generation` of replicas that miss a host.
};

/// The name under which a broken replica is kept.
[[nodiscard]] std::string replica_generation_key(const std::string& replica, std::uint64_t generation);

/// The dispatchers of all services. Thread-safe.
class service_routes {
public:
    /// The service's route; null for a service that the configuration doesn't name.
    [[nodiscard]] std::shared_ptr<service_route> find(const std::string& service) const;

    /// All routes.
    [[nodiscard]] std::vector<std::shared_ptr<service_route>> all() const;

    /// Makes routes for the configuration's services and drops those of others.
    void configure(const configuration& config);

private:
    mutable std::mutex mutex; ///< Guards `routes`; taken before a route's lock.
    std::map<std::string, std::shared_ptr<service_route>> routes;
};

} // namespace coriander
