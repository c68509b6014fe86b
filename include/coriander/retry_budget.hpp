#pragma once

#include <algorithm>

namespace coriander {

/// Limits retries to a share of the first attempts, so that failures can't multiply the load. Not
/// thread-safe.
class retry_budget {
public:
    /// Allows `share` retries per first attempt and accumulates at most `max_retries` unused ones, which is
    /// also the initial number.
    explicit retry_budget(double share = 0.1, double max_retries = 10.0)
        : share{share}, max_retries{max_retries}, available{max_retries}
    {
    }

    /// Counts a first attempt.
    void on_request() { this->available = std::min(this->max_retries, this->available + this->share); }

    /// Whether a retry is left.
    [[nodiscard]] bool has_retry() const noexcept { return this->available >= 1.0; }

    /// Takes one retry from the budget. Precondition: `has_retry()`.
    void take_retry() { this->available -= 1.0; }

private:
    double share;
    double max_retries;
    double available;
};

} // namespace coriander
