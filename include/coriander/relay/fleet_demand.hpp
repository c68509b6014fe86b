#pragma once

#include "coriander/relay/load_update.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>

namespace coriander {

/// Estimates the load of each model over all daemons. A single daemon sees too few requests to estimate the
/// total load; the mean of the daemons' measurements varies much less. Soft state. Not thread-safe.
class fleet_demand {
public:
    /// Records the loads measured by the daemon `sender`.
    void on_report(std::uint64_t sender, std::span<const model_demand> demands, time_ms now);

    /// The load over all `daemons`, of which this one has measured `own`. The rate is the mean of the
    /// recently reported rates times the number of daemons; sizes and durations are means weighted by the
    /// rates. Precondition: `daemons` > 0.
    [[nodiscard]] model_traffic total(std::uint64_t model, const model_traffic& own, std::size_t daemons,
                                      time_ms now);

private:
    struct reported_load {
        model_traffic load;
        time_ms received_at;
    };

    /// Retention time of a report. A daemon reports to each of the others about every `daemons` / 8 rounds of
    /// 0.4 s.
    static constexpr time_ms retention{10000};

    std::map<std::uint64_t, std::map<std::uint64_t, reported_load>> models; ///< By model and sender.
};

/// The hash by which daemons identify a model of a service.
[[nodiscard]] std::uint64_t model_key(std::string_view service, std::string_view model);

} // namespace coriander
