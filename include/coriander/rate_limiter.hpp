#pragma once

#include "coriander/time_ms.hpp"

namespace coriander {

/// A token bucket. Not thread-safe.
class rate_limiter {
public:
    /// `per_second` requests on average, and up to one second's worth at once (at least one).
    rate_limiter(double per_second, time_ms now);

    /// Changes the rate; what has been saved up stays, within the new bound.
    void set_rate(double per_second, time_ms now);

    /// Takes one request, or tells that the rate is used up.
    [[nodiscard]] bool try_acquire(time_ms now);

    /// How long until the next request would pass.
    [[nodiscard]] time_ms retry_after(time_ms now) const;

private:
    [[nodiscard]] double burst() const noexcept;
    [[nodiscard]] double available(time_ms now) const noexcept;

    double rate;
    double saved;
    time_ms updated;
};

} // namespace coriander
