#pragma once

#include <algorithm>

namespace coriander {

/// Bounds retries to a share of the first attempts, so that failures can't multiply the load.
/// Not thread-safe.
class retry_budget {
public:
    /// `share` retries for each first attempt, with at most `reserve` saved up.
    explicit retry_budget(double share = 0.1, double reserve = 10.0)
        : share{share}, reserve{reserve}, saved{reserve}
    {
    }

    /// Counts a first attempt.
    void on_request() { this->saved = std::min(this->reserve, this->saved + this->share); }

    /// Takes one retry, or tells that none is left.
    [[nodiscard]] bool try_retry()
    {
        if (this->saved < 1.0) {
            return false;
        }
        this->saved -= 1.0;
        return true;
    }

private:
    double share;
    double reserve;
    double saved;
};

} // namespace coriander
