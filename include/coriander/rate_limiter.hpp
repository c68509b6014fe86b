#pragma once

#include "coriander/time_ms.hpp"

namespace coriander {

/// A token bucket. Not thread-safe.
class rate_limiter {
public:
    /// Admits `per_second` requests on average, with bursts of up to one second's worth (at least one
    /// request).
    rate_limiter(double per_second, time_ms now);

    /// Changes the rate; the accumulated permits stay, up to the new burst size.
    void set_rate(double per_second, time_ms now);

    /// Admits one request. Returns false if no permit is available.
    [[nodiscard]] bool try_acquire(time_ms now);

    /// Time until the next request would be admitted.
    [[nodiscard]] time_ms retry_after(time_ms now) const;

private:
    [[nodiscard]] double burst() const noexcept;
    [[nodiscard]] double available(time_ms now) const noexcept;

    double rate;
    double permits;
    time_ms updated;
};

} // namespace coriander
