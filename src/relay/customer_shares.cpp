#include "coriander/relay/customer_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace coriander {

double customer_shares::decayed_count::at_time(time_ms now) const
{
    const double age = std::max(0.0, (now - this->at).seconds());
    return this->value * std::exp2(-age / half_life.seconds());
}

void customer_shares::decayed_count::add(time_ms now)
{
    this->value = this->at_time(now) + 1.0;
    this->at = now;
}

void customer_shares::on_request(std::uint64_t customer, time_ms now)
{
    if (this->asked.size() >= max_customers && !this->asked.contains(customer)) {
        this->forget_quiet(now);
    }
    this->asked[customer].add(now);
}

void customer_shares::on_granted(time_ms now)
{
    this->granted.add(now);
}

double customer_shares::fitting_part(std::uint64_t customer, double room, time_ms now) const
{
    const auto found = this->asked.find(customer);
    const double own = found == this->asked.end() ? 0.0 : found->second.at_time(now);
    double total = 0.0;
    for (const auto& [name, count] : this->asked) {
        total += count.at_time(now);
    }
    const double available = room * this->granted.at_time(now);
    if (own <= 0.0 || total < min_asked || available >= shortage * total) {
        return 1.0;
    }
    // A single request is never beyond a share.
    return std::min(1.0, (this->level(available, now) + 1.0) / own);
}

double customer_shares::level(double available, time_ms now) const
{
    std::vector<double> rates;
    rates.reserve(this->asked.size());
    for (const auto& [name, count] : this->asked) {
        rates.push_back(count.at_time(now));
    }
    std::sort(rates.begin(), rates.end());
    double left = available;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const double equal = left / static_cast<double>(rates.size() - i);
        if (rates[i] >= equal) {
            return equal;
        }
        left -= rates[i];
    }
    return rates.empty() ? 0.0 : rates.back();
}

void customer_shares::forget_quiet(time_ms now)
{
    constexpr double quiet = 0.1;
    std::erase_if(this->asked, [&](const auto& item) { return item.second.at_time(now) < quiet; });
    if (this->asked.size() >= max_customers) {
        this->asked.erase(this->asked.begin());
    }
}

} // namespace coriander
