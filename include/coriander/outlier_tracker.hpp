#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriander {

/// When a target is ejected, and for how long.
struct outlier_settings {
    std::uint32_t consecutive_failures = 3;
    double max_relative_latency = 3.0; ///< As a multiple of the median latency.
    std::uint32_t minimum_samples = 8;
    double max_ejected_share = 0.34; ///< Share of the known targets; at least one is never ejected.
    time_ms base_ejection{2000};
    time_ms max_ejection{60000};
};

/// Detects targets of one service that fail or are much slower than the others, and ejects them for a time.
/// Not thread-safe.
class outlier_tracker {
public:
    explicit outlier_tracker(outlier_settings settings = {}) : settings{settings} {}

    /// Records an attempt that the target answered; `latency` is the time to the first token.
    void on_success(const std::string& target, time_ms latency, time_ms now);

    /// Records an attempt that failed at the target.
    void on_failure(const std::string& target, time_ms now);

    /// Whether the target is ejected at `now`.
    [[nodiscard]] bool is_ejected(const std::string& target, time_ms now) const;

    /// The target's latency relative to the median over all targets; at least 1, and 1 if there are too few
    /// samples.
    [[nodiscard]] double relative_latency(const std::string& target) const;

    /// Removes targets that are not in `present`.
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
