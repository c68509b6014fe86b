#include "coriander/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace coriander {
namespace {

constexpr double min_rate = 0.001; // Keeps the result of `retry_after` finite.

} // namespace

rate_limiter::rate_limiter(double per_second, time_ms now)
    : rate{std::max(min_rate, per_second)}, permits{std::max(1.0, per_second)}, updated{now}
{
}

double rate_limiter::burst() const noexcept
{
    return std::max(1.0, this->rate);
}

double rate_limiter::available(time_ms now) const noexcept
{
    const double elapsed = std::max(0.0, (now - this->updated).seconds());
    return std::min(this->burst(), this->permits + elapsed * this->rate);
}

void rate_limiter::set_rate(double per_second, time_ms now)
{
    this->permits = this->available(now);
    this->updated = now;
    this->rate = std::max(min_rate, per_second);
    this->permits = std::min(this->permits, this->burst());
}

bool rate_limiter::try_acquire(time_ms now)
{
    this->permits = this->available(now);
    this->updated = std::max(now, this->updated);
    if (this->permits < 1.0) {
        return false;
    }
    this->permits -= 1.0;
    return true;
}

time_ms rate_limiter::retry_after(time_ms now) const
{
    constexpr double ms_per_second = 1000.0;
    const double missing = std::max(0.0, 1.0 - this->available(now));
    return time_ms{static_cast<std::int64_t>(std::ceil(missing / this->rate * ms_per_second))};
}

} // namespace coriander
