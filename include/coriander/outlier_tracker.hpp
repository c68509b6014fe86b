#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriander {

/// When a target is taken out of rotation, and for how long.
struct outlier_settings {
    std::uint32_t consecutive_failures = 3;
    double max_relative_latency = 3.0; ///< Times the median latency.
    std::uint32_t minimum_samples = 8;
    double max_ejected_share = 0.34; ///< At least one target stays whatever happens.
    time_ms base_ejection{2000};
    time_ms max_ejection{60000};
};

/// Watches the targets of one service and ejects those that fail or are far slower than the others.
/// Not thread-safe.
class outlier_tracker {
public:
    explicit outlier_tracker(outlier_settings settings = {}) : settings{settings} {}

    /// Counts an attempt that the target answered; `latency` is to its first token.
    void on_success(const std::string& target, time_ms latency, time_ms now);

    /// Counts an attempt that the target failed.
    void on_failure(const std::string& target, time_ms now);

    /// Whether the target is out of rotation now. `known_targets` is the number of targets in the service:
    /// the share of ejected ones is bounded by it.
    [[nodiscard]] bool is_ejected(const std::string& target, time_ms now) const;

    /// The target's latency relative to the median over all targets; 1 when too little is known.
    [[nodiscard]] double relative_latency(const std::string& target) const;

    /// Forgets targets that are not in `present`.
    void retain(const std::vector<std::string>& present);

private:
    struct target_state {
        std::uint32_t consecutive_failures = 0;
        std::uint32_t samples = 0;
        double latency_ms = 0.0; ///< Exponentially weighted mean.
        std::uint32_t ejections = 0;
        time_ms ejected_until;
    };

    void eject(target_state& state, time_ms now);
    [[nodiscard]] double median_latency() const;

    outlier_settings settings;
    std::map<std::string, target_state> targets;
};

} // namespace coriander
