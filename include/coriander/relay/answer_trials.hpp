#pragma once

#include "coriander/relay/crash_report.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriander {

/// When a request counts as one that does not crash its target.
struct answer_trial_settings {
    /// A target that crashes because of a request does so within this time after it began to respond.
    time_ms max_crash_delay{1000};
    /// Less time suffices if the response makes progress: a slow target crashes later, but is also slower to
    /// send events.
    time_ms min_writing_time{300};
    std::size_t min_events = 4;
};

/// A request that has run long enough without a crash.
struct cleared_request {
    std::vector<fingerprint> prints;
    time_ms started_at;
};

/// The recent requests of this daemon on each host: those that would be suspects if the host crashed now. Not
/// thread-safe.
class answer_trials {
public:
    using id = std::uint64_t;

    explicit answer_trials(answer_trial_settings settings = {}) : settings{settings} {}

    /// Adds a request that is sent to the host.
    id begin(const std::string& host, std::vector<fingerprint> prints);

    /// Records that the target began to respond.
    void on_started(id trial, time_ms now);
    /// Records progress of the response, of which `events` events have arrived.
    void on_progress(id trial, std::size_t events, time_ms now);
    /// Records that the response is complete.
    void on_complete(id trial, time_ms now);
    /// Records that the request ended early, by the caller or by a failure; the target may have run it.
    void on_broken_off(id trial, time_ms now);
    /// Removes a request that the target did not run.
    void discard(id trial) { this->open.erase(trial); }

    /// Removes and returns the requests that have turned out not to crash their targets.
    [[nodiscard]] std::vector<cleared_request> take_cleared(time_ms now);

    /// Removes and returns the suspects of a crash of the host, each with the crash's id and age.
    [[nodiscard]] std::vector<crash_suspect> take_suspects(const std::string& host, std::uint64_t crash,
                                                           time_ms age);

private:
    enum class phase { running, complete, broken_off };

    struct trial {
        std::string host;
        std::vector<fingerprint> prints;
        phase state = phase::running;
        bool has_started = false;
        bool is_cleared = false;
        time_ms started_at;
        time_ms ended_at;
    };

    [[nodiscard]] trial* find(id wanted);
    void end(id ended, phase state, time_ms now);

    answer_trial_settings settings;
    std::map<id, trial> open;
    id last_id = 0;
};

} // namespace coriander
