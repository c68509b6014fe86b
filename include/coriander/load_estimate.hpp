#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace coriander {

/// What other routers' requests keep busy on a target, learnt from the target's reports.
///
/// Reports lag by an unknown time, so that no single report can be set against this router's own count of
/// now: the difference would mostly be the router's own past. Averages over a few seconds are not moved by a
/// lag, and their difference is what the others do. Not thread-safe.
class load_estimate {
public:
    /// `averaging_time` must be longer than reports lag.
    explicit load_estimate(time_ms averaging_time = 3_s) : averaging_time{averaging_time} {}

    /// Takes a report in. `own` is this router's count on the target when the report arrived.
    void on_report(std::uint32_t running, std::uint32_t queued, std::uint32_t own, time_ms now)
    {
        const double reported = static_cast<double>(running) + queued;
        if (!this->is_known) {
            this->reported_mean = reported;
            this->own_mean = own;
        }
        const double age = std::max(0.0, (now - this->updated).seconds());
        const double gain = this->is_known ? 1.0 - std::exp(-age / this->averaging_time.seconds()) : 1.0;
        this->reported_mean += gain * (reported - this->reported_mean);
        this->own_mean += gain * (own - this->own_mean);
        this->last_reported = reported;
        this->updated = now;
        this->is_known = true;
    }

    /// Requests of others on the target, on average.
    [[nodiscard]] double others() const noexcept
    {
        return std::max(0.0, this->reported_mean - this->own_mean);
    }

    /// The same at `now`. As the last report ages, `expected` takes its place: who sends nothing because a
    /// target seemed full gets no reports either, and must not take it for full for good.
    [[nodiscard]] double others_at(time_ms now, time_ms half_life, double expected) const
    {
        const double age = std::max(0.0, (now - this->updated).seconds());
        const double weight = this->is_known ? std::exp2(-age / half_life.seconds()) : 0.0;
        return weight * this->others() + (1.0 - weight) * expected;
    }

    /// Whether the last report told of any request.
    [[nodiscard]] bool was_busy() const noexcept { return this->is_known && this->last_reported > 0.0; }

private:
    time_ms averaging_time;
    double reported_mean = 0.0;
    double own_mean = 0.0;
    double last_reported = 0.0;
    time_ms updated;
    bool is_known = false;
};

} // namespace coriander
