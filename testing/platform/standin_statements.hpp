#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace coriander::standin {

/// What a stand-in's host states about itself in its responses only, and how far callers keep to it. Not
/// thread-safe.
class standin_statements {
public:
    /// From now on all responses state that the host leaves; its entry in the table does not.
    void leave() { this->leaves = true; }
    /// The next request, and all others for `length` after it, are turned away with the time left. Repeats
    /// with the first request afterwards, `times` in all.
    void pause(time_ms length, unsigned times)
    {
        this->pause_length = length;
        this->pauses_left = times;
    }
    /// Ends all statements, as a restart does.
    void clear() { *this = {}; }

    /// Whether all responses state that the host leaves.
    [[nodiscard]] bool is_leaving() const noexcept { return this->leaves; }

    /// Counts a request. Returns for how long the host wants no other; zero if it takes this one.
    time_ms on_request(time_ms now)
    {
        if (this->leaves) {
            this->left_at = this->left_at.value_or(now);
            this->late += now - *this->left_at > leaving_grace ? 1 : 0;
        }
        if (now >= this->paused_until && this->pauses_left > 0) {
            --this->pauses_left;
            this->paused_at = now;
            this->paused_until = now + this->pause_length;
            this->early = 0;
        }
        if (now >= this->paused_until) {
            return {};
        }
        this->early += now - this->paused_at > pause_grace ? 1 : 0;
        this->early_most = std::max(this->early_most, this->early);
        return this->paused_until - now;
    }

    /// Requests that came later than `leaving_grace` after the host had first stated that it leaves.
    [[nodiscard]] std::size_t late_arrivals() const noexcept { return this->late; }
    /// The most requests in one pause, from `pause_grace` after its start on.
    [[nodiscard]] std::size_t early_arrivals() const noexcept { return this->early_most; }

private:
    /// Enough for every gateway to get a response.
    static constexpr time_ms leaving_grace{3000};
    static constexpr time_ms pause_grace{500};

    bool leaves = false;
    std::optional<time_ms> left_at; ///< When it first stated that it leaves.
    time_ms pause_length;
    unsigned pauses_left = 0;
    time_ms paused_at;
    time_ms paused_until;
    std::size_t late = 0;
    std::size_t early = 0;
    std::size_t early_most = 0;
};

} // namespace coriander::standin
