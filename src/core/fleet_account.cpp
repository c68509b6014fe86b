#include "coriander/fleet_account.hpp"

#include <algorithm>

namespace coriander {
namespace {

double shortfall(std::uint32_t wanted, std::uint32_t present)
{
    return static_cast<double>(wanted - std::min(wanted, present));
}

} // namespace

void fleet_account::add(const std::string& profile, const profile_sample& sample, time_ms now)
{
    const auto found = this->last.find(profile);
    auto& sum = this->sums[profile];
    if (found != this->last.end()) {
        const double elapsed = std::max(0.0, (now - found->second.at).seconds());
        const auto& before = found->second.sample;
        sum.downtime_s += elapsed * shortfall(before.replicas_wanted, before.replicas_serving);
        sum.stranded_s += elapsed * shortfall(before.hosts_held, before.hosts_serving);
    }
    this->last[profile] = {sample, now};
}

} // namespace coriander
