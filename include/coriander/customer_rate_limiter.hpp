#pragma once

#include "coriander/configuration.hpp"
#include "coriander/rate_limiter.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// The share of a customer's rate limit that one router may use, between 0 and 1, based on its share of the
/// demand.
///
/// The shares of routers that know the same demands add up to 1. A small part of the limit is divided evenly,
/// so that a router can admit the first request that it receives from a customer.
[[nodiscard]] double limit_share(double own_demand, double demand_of_others, std::size_t routers) noexcept;

/// Enforces each customer's rate limit, which applies to all routers together. Not thread-safe.
class customer_rate_limiter {
public:
    /// Counts a request as demand. Returns whether it is within the limit.
    [[nodiscard]] bool try_acquire(const customer_rule& customer, time_ms now);

    /// Time until this router would admit the customer's next request.
    [[nodiscard]] time_ms retry_after(const customer_rule& customer, time_ms now) const;

    /// Sets the total demand of all other routers by customer, in requests per second, and the number of
    /// routers including this one.
    void set_demand_of_others(std::map<std::string, double> demand, std::size_t routers);

    /// This router's demand by customer, in requests per second.
    [[nodiscard]] std::map<std::string, double> own_demand(time_ms now) const;

private:
    /// Exponentially decaying average of a request rate, with a time constant of 2 s.
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
