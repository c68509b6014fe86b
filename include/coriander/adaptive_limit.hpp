#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// Bounds of an adaptive limit.
struct adaptive_limit_settings {
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 64;
    double decrease_factor = 0.8;
    time_ms decrease_interval{500}; ///< At most one decrease in this time: one slow batch counts once.
};

/// How many requests a router allows itself on one target at once: grows by one a round trip while the target
/// keeps its latency bound, shrinks by a factor when it doesn't. Not thread-safe.
class adaptive_limit {
public:
    explicit adaptive_limit(adaptive_limit_settings settings);

    /// Takes the first-token latency of a request into account. `was_at_limit` tells whether the limit was
    /// reached while it ran; a limit that nobody reaches does not grow.
    void on_first_token(time_ms latency, time_ms bound, bool was_at_limit, time_ms now);

    /// Takes a refusal or a failure of the target into account.
    void on_overload(time_ms now);

    /// The limit in force, within floor and ceiling.
    [[nodiscard]] std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(this->current); }

private:
    adaptive_limit_settings settings;
    double current;
    time_ms last_decrease;
    bool has_decreased = false;
};

} // namespace coriander
