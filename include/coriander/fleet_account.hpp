#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// What one look at a profile's replicas found.
struct profile_sample {
    std::uint32_t replicas_wanted = 0;
    std::uint32_t replicas_serving = 0;
    std::uint32_t hosts_held = 0;    ///< In replicas or kept back, and healthy.
    std::uint32_t hosts_serving = 0; ///< In replicas that serve.
};

/// The two figures that the users measure, summed over time.
struct profile_totals {
    double downtime_s = 0.0; ///< Replica-seconds in which a wanted replica could not serve.
    double stranded_s = 0.0; ///< Host-seconds in which a held host served nothing.
};

/// Sums group downtime and stranded hosts per profile. Not thread-safe.
class fleet_account {
public:
    /// Adds the time since the last sample of the profile, valued by the state at its start.
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
