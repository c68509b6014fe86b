#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace coriander {

/// Bounds of the attempts beyond the first that all daemons together may send to a service.
struct retry_window_settings {
    double ratio = 0.2;      ///< Retries for each request of the window.
    double allowance = 10.0; ///< Retries beyond the ratio, over all daemons.
    time_ms window{10000};
};

/// Keeps one daemon's retries within its part of the bound that holds for all daemons together in any span of
/// the window's length. Not thread-safe.
class retry_window {
public:
    explicit retry_window(retry_window_settings settings = {}) : settings{settings} {}

    /// Counts a request's first attempt.
    void on_request(time_ms now)
    {
        this->forget_old(now);
        this->requests.push_back(now);
    }

    /// Takes one retry, or tells that the part of this daemon, one of `daemons`, is used up.
    /// Precondition: `daemons` > 0.
    [[nodiscard]] bool try_retry(time_ms now, std::size_t daemons)
    {
        this->forget_old(now);
        const double part = this->settings.allowance / static_cast<double>(daemons);
        const double bound =
            safety * (this->settings.ratio * static_cast<double>(this->requests.size()) + part);
        if (static_cast<double>(this->retries.size()) + 1.0 > std::max(1.0, bound)) {
            return false;
        }
        this->retries.push_back(now);
        return true;
    }

    /// Requests and retries that are remembered.
    [[nodiscard]] std::size_t remembered() const noexcept
    {
        return this->requests.size() + this->retries.size();
    }

private:
    /// Part of the bound that is used: daemons' windows don't begin at the same moment.
    static constexpr double safety = 0.8;

    void forget_old(time_ms now)
    {
        const auto begin = now - this->settings.window;
        for (auto* times : {&this->requests, &this->retries}) {
            while (!times->empty() && times->front() < begin) {
                times->pop_front();
            }
        }
    }

    retry_window_settings settings;
    std::deque<time_ms> requests;
    std::deque<time_ms> retries;
};

} // namespace coriander
