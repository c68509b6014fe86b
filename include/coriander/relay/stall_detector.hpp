#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace coriander {

/// Thresholds from which a replica without progress is suspected to be stalled.
struct stall_settings {
    /// Minimum threshold: one pass over a full batch that includes a large prompt.
    time_ms min_silence{140};
    /// The threshold as a multiple of the average gap between events.
    double gap_factor = 3.0;
    /// Threshold while no stream has started, where silence is just the time to the first event.
    time_ms first_event_silence{700};
};

/// Detects that a replica has stalled, from the events of all its streams together. A replica processes all
/// its requests in one batch, so a healthy one sends an event on each stream in every pass; if all streams
/// are silent at once, it has stalled. Not thread-safe.
class stall_detector {
public:
    stall_detector() = default;
    explicit stall_detector(stall_settings settings) : settings{settings} {}

    /// Records that a request was sent to the replica.
    void on_sent(time_ms now)
    {
        if (this->open_requests++ == 0) {
            this->last_progress = now;
        }
    }

    /// Records an event, or the first byte of a response, from the replica.
    void on_progress(time_ms now)
    {
        if (this->open_streams > 0) {
            const double gap = static_cast<double>((now - this->last_progress).count());
            if (gap > min_gap_ms) {
                this->average_gap_ms += gain * (std::min(gap, max_gap_ms) - this->average_gap_ms);
            }
        }
        this->last_progress = now;
    }

    /// Records that the response to a request started.
    void on_response_started() { ++this->open_streams; }

    /// Records the end of a request; `had_started` tells whether its response had started.
    void on_ended(bool had_started)
    {
        this->open_requests -= this->open_requests > 0 ? 1 : 0;
        this->open_streams -= had_started && this->open_streams > 0 ? 1 : 0;
    }

    /// Silence beyond which the replica is suspected to be stalled; nothing while it has no open request.
    [[nodiscard]] std::optional<time_ms> threshold() const
    {
        if (this->open_requests == 0) {
            return std::nullopt;
        }
        if (this->open_streams == 0) {
            return this->settings.first_event_silence;
        }
        const auto scaled_gap = static_cast<std::int64_t>(this->settings.gap_factor * this->average_gap_ms);
        return std::max(this->settings.min_silence, time_ms{scaled_gap});
    }

    /// Time since the last progress, or since the first open request was sent if that is later.
    [[nodiscard]] time_ms silence(time_ms now) const { return now - this->last_progress; }

    /// Whether the replica is suspected to be stalled.
    [[nodiscard]] bool is_suspect(time_ms now) const
    {
        const auto limit = this->threshold();
        return limit && this->silence(now) > *limit;
    }

    /// Restarts the measurement of silence at `now`.
    void reset_silence(time_ms now) { this->last_progress = now; }

private:
    /// Smoothing factor of the average gap.
    static constexpr double gain = 0.1;
    /// Events that arrive within a shorter time belong to the same pass.
    static constexpr double min_gap_ms = 5.0;
    /// Longer gaps are caused by faults; they are capped so that they do not distort the average.
    static constexpr double max_gap_ms = 200.0;
    static constexpr double initial_gap_ms = 45.0;

    stall_settings settings;
    std::uint32_t open_requests = 0;
    std::uint32_t open_streams = 0;
    time_ms last_progress;
    double average_gap_ms = initial_gap_ms;
};

} // namespace coriander
