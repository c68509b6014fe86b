#pragma once

#include "coriander/relay/load_update.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>

namespace coriander {

/// The load of each model over all daemons. One daemon of many sees too few requests to tell the whole from
/// them; the mean of what daemons measure is far steadier. Soft state. Not thread-safe.
class fleet_demand {
public:
    /// Takes in what the daemon `sender` has measured.
    void on_report(std::uint64_t sender, std::span<const model_demand> demands, time_ms now);

    /// The load over all `daemons`, of which this one has measured `own`. Rates are the mean of those told
    /// lately, times the daemons; sizes and durations are means weighted by the rates.
    /// Precondition: `daemons` > 0.
    [[nodiscard]] model_traffic total(std::uint64_t model, const model_traffic& own, std::size_t daemons,
                                      time_ms now);

private:
    struct told_load {
        model_traffic load;
        time_ms at;
    };

    /// A daemon tells each other one about every `daemons` / 8 rounds of 0.4 s.
    static constexpr time_ms keeping{10000};

    std::map<std::uint64_t, std::map<std::uint64_t, told_load>> models; ///< By model and sender.
};

/// The hash that names a service's model between daemons.
[[nodiscard]] std::uint64_t model_key(std::string_view service, std::string_view model);

} // namespace coriander
