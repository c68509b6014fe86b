#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// State of a profile's replicas at one point in time.
struct profile_sample {
    std::uint32_t replicas_wanted = 0;
    std::uint32_t replicas_serving = 0;
    std::uint32_t hosts_held = 0;    ///< Healthy hosts that belong to replicas or are held in reserve.
    std::uint32_t hosts_serving = 0; ///< Hosts of replicas that serve.
};

/// The two figures that users of the system measure, summed over time.
struct profile_totals {
    double downtime_s = 0.0; ///< Replica-seconds during which wanted replicas did not serve.
    double stranded_s = 0.0; ///< Host-seconds during which held hosts did not serve.
};

/// Sums downtime of replicas and stranded hosts per profile. Not thread-safe.
class fleet_account {
public:
    /// Adds the time since the last sample of the profile, weighted by the state in that last sample.
    void add(const std::string& profile, const profile_sample& sample, time_ms now);

    /// Totals by profile name.
    [[nodiscard]] const std::map<std::string, profile_totals>& totals() const noexcept { return this->sums; }

private:
    struct last_sample {
        profile_sample sample;
        time_ms at;
    };

    std::map<std::string, last_sample> last;
    std::map<std::string, profile_totals> sums;
};

} // namespace coriander
