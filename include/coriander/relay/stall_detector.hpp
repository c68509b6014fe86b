#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace coriander {

/// When a replica's silence counts as a sign of trouble.
struct stall_settings {
    /// Silence that is never suspicious: one pass of a busy batch with a large prompt in it.
    time_ms floor{140};
    /// Silence is suspicious from this many usual gaps on.
    double gap_factor = 3.0;
    /// The same silence on a replica of which no stream has begun: only the time to its first event.
    time_ms first_event_floor{700};
};

/// Watches all streams of one replica together. A replica works on all its requests in one batch, so that a
/// sound one sends an event on each stream in every pass; all streams silent at once means that it stands
/// still. Not thread-safe.
class stall_detector {
public:
    stall_detector() = default;
    explicit stall_detector(stall_settings settings) : settings{settings} {}

    /// A request was sent to the replica.
    void on_sent(time_ms now)
    {
        if (this->open++ == 0) {
            this->quiet_since = now;
        }
    }

    /// An event, or the first byte of an answer, came from the replica.
    void on_progress(time_ms now)
    {
        if (this->writing > 0) {
            const double gap = static_cast<double>((now - this->quiet_since).count());
            if (gap > min_gap_ms) {
                this->usual_gap_ms += gain * (std::min(gap, max_gap_ms) - this->usual_gap_ms);
            }
        }
        this->quiet_since = now;
    }

    /// The answer of a request began.
    void on_response_started() { ++this->writing; }

    /// A request ended; `had_started` tells whether its answer had.
    void on_ended(bool had_started)
    {
        this->open -= this->open > 0 ? 1 : 0;
        this->writing -= had_started && this->writing > 0 ? 1 : 0;
    }

    /// How long the replica must have been silent to be suspected; nothing while no request is open there.
    [[nodiscard]] std::optional<time_ms> tolerance() const
    {
        if (this->open == 0) {
            return std::nullopt;
        }
        if (this->writing == 0) {
            return this->settings.first_event_floor;
        }
        const auto usual = static_cast<std::int64_t>(this->settings.gap_factor * this->usual_gap_ms);
        return std::max(this->settings.floor, time_ms{usual});
    }

    /// How long nothing has come from the replica, counted from the first open request.
    [[nodiscard]] time_ms silence(time_ms now) const { return now - this->quiet_since; }

    /// Whether the replica is suspected of standing still.
    [[nodiscard]] bool is_suspect(time_ms now) const
    {
        const auto limit = this->tolerance();
        return limit && this->silence(now) > *limit;
    }

    /// Counts silence from now on.
    void reset_silence(time_ms now) { this->quiet_since = now; }

private:
    static constexpr double gain = 0.1;
    /// Events that arrive together belong to one pass.
    static constexpr double min_gap_ms = 5.0;
    /// A longer gap is trouble and says nothing of the usual one.
    static constexpr double max_gap_ms = 200.0;
    static constexpr double initial_gap_ms = 45.0;

    stall_settings settings;
    std::uint32_t open = 0;
    std::uint32_t writing = 0;
    time_ms quiet_since;
    double usual_gap_ms = initial_gap_ms;
};

} // namespace coriander
