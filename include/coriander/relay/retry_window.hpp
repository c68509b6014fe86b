#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace coriander {

/// Limits on the retries that all daemons together may send to a service.
struct retry_window_settings {
    double ratio = 0.2;      ///< Retries per request within the window.
    double allowance = 10.0; ///< Additional retries within the window, over all daemons.
    time_ms window{10000};
};

/// Limits one daemon's retries to its share of the limit that applies to all daemons together over any
/// sliding window. Not thread-safe.
class retry_window {
public:
    explicit retry_window(retry_window_settings settings = {}) : settings{settings} {}

    /// Records the first attempt of a request.
    void on_request(time_ms now)
    {
        this->discard_expired(now);
        this->requests.push_back(now);
    }

    /// Whether the share of this daemon, one of `daemons`, contains another retry. Precondition: `daemons` >
    /// 0.
    [[nodiscard]] bool has_retry(time_ms now, std::size_t daemons)
    {
        this->discard_expired(now);
        const double allowance_share = this->settings.allowance / static_cast<double>(daemons);
        const double limit =
            safety_factor *
            (this->settings.ratio * static_cast<double>(this->requests.size()) + allowance_share);
        return static_cast<double>(this->retries.size()) + 1.0 <= std::max(1.0, limit);
    }

    /// Consumes one retry. Returns false if there is none. Precondition: `daemons` > 0.
    [[nodiscard]] bool try_retry(time_ms now, std::size_t daemons)
    {
        if (!this->has_retry(now, daemons)) {
            return false;
        }
        this->retries.push_back(now);
        return true;
    }

    /// Number of requests and retries that are stored.
    [[nodiscard]] std::size_t stored_count() const noexcept
    {
        return this->requests.size() + this->retries.size();
    }

private:
    /// Fraction of the limit that is used, because the daemons' windows are not aligned.
    static constexpr double safety_factor = 0.8;

    void discard_expired(time_ms now)
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
