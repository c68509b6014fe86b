#include "coriander/adaptive_limit.hpp"

#include <algorithm>

namespace coriander {

adaptive_limit::adaptive_limit(adaptive_limit_settings settings)
    : settings{settings}, current{static_cast<double>(settings.ceiling)}
{
}

void adaptive_limit::on_first_token(time_ms latency, time_ms bound, bool was_at_limit, time_ms now)
{
    if (latency > bound) {
        this->on_overload(now);
        return;
    }
    // Between half the bound and the bound the limit does not grow: the latency may still be rising from
    // earlier growth, and the limit would overshoot.
    if (was_at_limit && latency <= bound / 2) {
        const double ceiling = this->settings.ceiling;
        this->current = std::min(ceiling, this->current + 1.0 / std::max(1.0, this->current));
    }
}

void adaptive_limit::on_overload(time_ms now)
{
    if (this->has_decreased && now - this->last_decrease < this->settings.decrease_interval) {
        return;
    }
    this->has_decreased = true;
    this->last_decrease = now;
    const double floor = this->settings.floor;
    this->current = std::max(floor, this->current * this->settings.decrease_factor);
}

} // namespace coriander
