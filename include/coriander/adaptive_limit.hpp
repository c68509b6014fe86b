#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// Bounds of an adaptive limit.
struct adaptive_limit_settings {
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 64;
    double decrease_factor = 0.8;
    time_ms decrease_interval{500}; ///< At most one decrease per interval: a slow batch counts once.
};

/// Limits the number of requests that a router has in flight on one target. Grows by about one per round trip
/// while the target keeps its latency bound, and shrinks by a factor otherwise. Not thread-safe.
class adaptive_limit {
public:
    explicit adaptive_limit(adaptive_limit_settings settings);

    /// Updates the limit with a request's first-token latency. `was_at_limit` is whether the limit was
    /// reached while the request ran; a limit that is not reached does not grow.
    void on_first_token(time_ms latency, time_ms bound, bool was_at_limit, time_ms now);

    /// Lowers the limit because the target refused a request or is overloaded, at most once per
    /// `decrease_interval`.
    void on_overload(time_ms now);

    /// The current limit, between floor and ceiling.
    [[nodiscard]] std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(this->current); }

private:
    adaptive_limit_settings settings;
    double current;
    time_ms last_decrease;
    bool has_decreased = false;
};

} // namespace coriander
