#pragma once

#include "coriander/relay/rate_limit.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>

namespace coriander {

/// Issues permits for requests to targets with a rate limit. For each target, one daemon issues the permits
/// of all. Not thread-safe.
class permit_issuer {
public:
    /// Decides on one request; a permit that is not used is lost. Daemons that are denied a permit are told
    /// to ask again at different times.
    [[nodiscard]] permit_decision decide(const rate_limit& limit, time_ms now);

private:
    /// Unused permits accumulate for this time.
    static constexpr time_ms max_saving{500};
    static constexpr time_ms max_wait{1000};
    /// Targets without requests for this time are forgotten.
    static constexpr time_ms retention{10000};

    struct schedule {
        double next_ms = 0.0;     ///< When the next permit is due if none has been saved.
        double next_ask_ms = 0.0; ///< When the next daemon that is denied should ask again.
        time_ms last_used;
    };

    void forget_unused(time_ms now);

    std::map<std::uint64_t, schedule> schedules;
};

} // namespace coriander
