#include "coriander/customer_rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace coriander {
namespace {

constexpr double evenly_divided_share = 0.2;
constexpr double meter_time_constant_s = 2.0;

} // namespace

double limit_share(double own_demand, double demand_of_others, std::size_t routers) noexcept
{
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, routers));
    const double total = own_demand + demand_of_others;
    const double by_demand = total > 0.0 ? own_demand / total : even;
    return evenly_divided_share * even + (1.0 - evenly_divided_share) * by_demand;
}

double customer_rate_limiter::demand_meter::at(time_ms now) const noexcept
{
    const double age = std::max(0.0, (now - this->updated).seconds());
    return this->rate * std::exp(-age / meter_time_constant_s);
}

void customer_rate_limiter::demand_meter::count(time_ms now) noexcept
{
    this->rate = this->at(now) + 1.0 / meter_time_constant_s;
    this->updated = now;
}

double customer_rate_limiter::share_of(const std::string& customer, time_ms now) const
{
    const auto meter = this->meters.find(customer);
    const auto other = this->others.find(customer);
    const double own = meter == this->meters.end() ? 0.0 : meter->second.at(now);
    return limit_share(own, other == this->others.end() ? 0.0 : other->second, this->routers);
}

bool customer_rate_limiter::try_acquire(const customer_rule& customer, time_ms now)
{
    this->meters[customer.name].count(now);
    const double rate = customer.requests_per_second * this->share_of(customer.name, now);
    auto& limiter = this->limiters.try_emplace(customer.name, rate, now).first->second;
    limiter.set_rate(rate, now);
    return limiter.try_acquire(now);
}

time_ms customer_rate_limiter::retry_after(const customer_rule& customer, time_ms now) const
{
    const auto found = this->limiters.find(customer.name);
    return found == this->limiters.end() ? time_ms{} : found->second.retry_after(now);
}

void customer_rate_limiter::set_demand_of_others(std::map<std::string, double> demand,
                                                 std::size_t router_count)
{
    this->others = std::move(demand);
    this->routers = router_count;
}

std::map<std::string, double> customer_rate_limiter::own_demand(time_ms now) const
{
    std::map<std::string, double> demand;
    for (const auto& [customer, meter] : this->meters) {
        demand[customer] = meter.at(now);
    }
    return demand;
}

} // namespace coriander
