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

/// One service's dispatcher and the lock that guards it.
struct service_route {
    using dispatcher_type = dispatcher<std::mt19937_64>;

    explicit service_route(const dispatch_settings& settings) : requests{settings, seeded_generator()} {}

    std::mutex mutex; ///< Guards the members below. Taken after a session's lock, before the leaf locks.
    dispatcher_type requests;
    std::set<std::string> unhealthy; ///< `replica@generation` of replicas that fail their health check.
};

/// The key of a replica in `service_route::unhealthy`.
[[nodiscard]] std::string replica_generation_key(const std::string& replica, std::uint64_t generation);

/// The dispatchers of all services. Thread-safe.
class service_routes {
public:
    /// The service's route; null if the configuration has no such service.
    [[nodiscard]] std::shared_ptr<service_route> find(const std::string& service) const;

    /// All routes.
    [[nodiscard]] std::vector<std::shared_ptr<service_route>> all() const;

    /// Creates or updates a route for each service of the configuration and removes all others.
    void configure(const configuration& config);

private:
    mutable std::mutex mutex; ///< Guards `routes`; taken before a route's lock.
    std::map<std::string, std::shared_ptr<service_route>> routes;
};

} // namespace coriander
