#pragma once

#include "coriander/configuration.hpp"
#include "coriander/rate_limiter.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// The part of a customer's limit that one router may use, by its part of the demand.
///
/// Routers that know the same demands divide the limit among them exactly. A small part is divided evenly, so
/// that a router that sees its first request of a customer has something to give.
[[nodiscard]] double limit_share(double own_demand, double demand_of_others, std::size_t routers) noexcept;

/// Holds customers to their limits, which count over all routers together. Not thread-safe.
class customer_rate_limiter {
public:
    /// Counts a request as demand and decides whether it is within the limit.
    [[nodiscard]] bool try_acquire(const customer_rule& customer, time_ms now);

    /// How long until the customer's next request would pass here.
    [[nodiscard]] time_ms retry_after(const customer_rule& customer, time_ms now) const;

    /// Sets the demand of all other routers together.
    void set_demand_of_others(std::map<std::string, double> demand, std::size_t routers);

    /// This router's demand by customer, in requests a second.
    [[nodiscard]] std::map<std::string, double> own_demand(time_ms now) const;

private:
    /// A rate that follows its input within a second or two.
    struct demand_meter {
        double rate = 0.0;
        time_ms updated;
        [[nodiscard]] double at(time_ms now) const noexcept;
        void count(time_ms now) noexcept;
    };

    [[nodiscard]] double share_of(const std::string& customer, time_ms now) const;

    std::map<std::string, rate_limiter> limiters;
    std::map<std::string, demand_meter> meters;
    std::map<std::string, double> others;
    std::size_t routers = 1;
};

} // namespace coriander
