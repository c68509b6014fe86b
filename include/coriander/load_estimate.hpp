#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace coriander {

/// Estimates the number of other routers' requests on a target from the target's load reports.
///
/// Reports are delayed by an unknown time, so a single report can't be compared with this router's current
/// count: the difference would mostly be due to this router's own earlier requests. Averages over a few
/// seconds are hardly affected by the delay, and their difference is the load of the other routers. Not
/// thread-safe.
class load_estimate {
public:
    /// `averaging_time` must be longer than the delay of reports.
    explicit load_estimate(time_ms averaging_time = 3_s) : averaging_time{averaging_time} {}

    /// Processes a report. `own` is the number of this router's requests on the target when the report
    /// arrived. A report that is older than the last one is ignored.
    void on_report(std::uint32_t running, std::uint32_t queued, std::uint32_t own, time_ms now)
    {
        if (this->is_known && now < this->updated) {
            return;
        }
        const double reported = static_cast<double>(running) + queued;
        if (!this->is_known) {
            this->reported_mean = reported;
            this->own_mean = own;
        }
        const double age = std::max(0.0, (now - this->updated).seconds());
        const double gain = this->is_known ? 1.0 - std::exp(-age / this->averaging_time.seconds()) : 1.0;
        this->reported_mean += gain * (reported - this->reported_mean);
        this->own_mean += gain * (own - this->own_mean);
        this->last_running = running;
        this->last_queued = queued;
        this->updated = now;
        this->is_known = true;
    }

    /// Average number of other routers' requests on the target.
    [[nodiscard]] double others() const noexcept
    {
        return std::max(0.0, this->reported_mean - this->own_mean);
    }

    /// The estimate at `now`. As the last report ages, the estimate approaches `expected`: a router that
    /// sends nothing because the target seemed full gets no reports either, and must not consider it full
    /// forever.
    [[nodiscard]] double others_at(time_ms now, time_ms half_life, double expected) const
    {
        const double age = std::max(0.0, (now - this->updated).seconds());
        const double weight = this->is_known ? std::exp2(-age / half_life.seconds()) : 0.0;
        return weight * this->others() + (1.0 - weight) * expected;
    }

    /// Whether the last report had any running or queued requests.
    [[nodiscard]] bool was_busy() const noexcept
    {
        return this->is_known && this->last_running + this->last_queued > 0;
    }

    /// The last report and its time; only valid if `has_report()`.
    [[nodiscard]] std::uint32_t running() const noexcept { return this->last_running; }
    [[nodiscard]] std::uint32_t queued() const noexcept { return this->last_queued; }
    [[nodiscard]] time_ms reported_at() const noexcept { return this->updated; }
    [[nodiscard]] bool has_report() const noexcept { return this->is_known; }

private:
    time_ms averaging_time;
    double reported_mean = 0.0;
    double own_mean = 0.0;
    std::uint32_t last_running = 0;
    std::uint32_t last_queued = 0;
    time_ms updated;
    bool is_known = false;
};

} // namespace coriander
