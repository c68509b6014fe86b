#pragma once

#include "coriander/relay/crash_report.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace coriander {

/// Thresholds and limits of a `crash_quarantine`.
struct crash_quarantine_settings {
    /// Crashes that quarantine a fingerprint, and the minimum time between the first and the last: crashes at
    /// the same moment have a common cause outside the requests.
    std::size_t min_crashes = 3;
    time_ms min_span{400};
    /// The same for a fingerprint whose requests have run before without a crash. Only crashes count of which
    /// the other daemons have had the time to report, since another fingerprint may explain them.
    std::size_t min_crashes_after_success = 5;
    time_ms min_span_after_success{1000};
    time_ms report_delay{1000};
    /// Time since the last crash during which all requests with the fingerprint are refused.
    time_ms block_time{120000};
    /// After that time, one request per interval is let through until one succeeds or crashes its target.
    time_ms probe_interval{5000};
    /// Crashes and successes older than this are forgotten.
    time_ms retention{600000};
    /// Requests that did not cause a crash, as its explanation shows, are forgotten after this time.
    time_ms explained_retention{10000};
    std::size_t max_suspects = 512;
    std::size_t max_cleared = 8192;
};

/// Whether a request may be sent to a target.
enum class quarantine_verdict {
    clear,
    probe,   ///< May be sent; its outcome decides whether the quarantine ends.
    blocked, ///< Must not be sent: requests like it crash their targets.
};

/// A fingerprint, or several that were always seen together, under which targets crash.
struct quarantine_entry {
    std::vector<fingerprint> prints; ///< Sorted; a request is concerned if it has all of them.
    std::size_t crashes = 0;
    time_ms last_crash;

    [[nodiscard]] friend bool operator==(const quarantine_entry&, const quarantine_entry&) = default;
};

/// Finds out which requests crash their targets, from what the requests on crashed targets have in common,
/// and decides which requests must not be sent. Works on the reports of all daemons: each crash is caused by
/// at most one request, and the smallest set of fingerprints that explains the crashes is quarantined. A
/// request that runs without a crash clears its fingerprints of all earlier crashes. Not thread-safe.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_settings settings = {}) : settings{settings} {}

    /// Records a request that was on a target when it crashed. Duplicates are ignored.
    void add(const crash_suspect& suspect, time_ms now);

    /// Records that a request with these fingerprints, which started to run at `started_at`, did not crash
    /// its target.
    void on_cleared(std::span<const fingerprint> prints, time_ms started_at, time_ms now);

    /// Merges another daemon's reports.
    void merge(const crash_update& update, time_ms now);

    /// Evaluates what was recorded since the last call. Returns whether the quarantine has changed.
    bool evaluate(time_ms now);

    /// Whether a request with these fingerprints may be sent. `may_probe` tells whether this daemon is the
    /// one that tests whether the quarantine of a fingerprint can end.
    [[nodiscard]] quarantine_verdict classify(std::span<const fingerprint> prints,
                                              const std::function<bool(fingerprint)>& may_probe, time_ms now);

    /// When to try again to send a request that is blocked. The longer nothing has ended the quarantine, the
    /// longer it is expected to last.
    [[nodiscard]] time_ms retry_after(std::span<const fingerprint> prints, time_ms now) const;

    /// Whether a request with one of these fingerprints was on a target that crashed, and none has ever run
    /// without a crash.
    [[nodiscard]] bool is_suspect(std::span<const fingerprint> prints) const;

    /// The reports to send in one message, at most `limit` of each kind. Each new report is returned
    /// `copies` times; older ones are returned in turns, a few at a time, for daemons that have restarted.
    [[nodiscard]] crash_update next_update(std::size_t limit, time_ms now);

    /// The newest reports, at most `limit`, for a daemon that has just started.
    [[nodiscard]] crash_update newest(std::size_t limit, time_ms now) const;

    /// What is quarantined now.
    [[nodiscard]] std::span<const quarantine_entry> entries() const noexcept { return this->quarantined; }

private:
    /// How often a new report is passed on; each time to several daemons, so that it reaches nearly all.
    static constexpr unsigned copies = 2;
    /// Older reports per message.
    static constexpr std::size_t repeated_reports = 2;
    /// Successes are reported of fingerprints with at least this many recent crashes.
    static constexpr std::size_t min_contested_crashes = 2;

    struct record {
        crash_suspect suspect;
        time_ms at;
        unsigned copies_left = 0;
    };
    struct evidence {
        std::map<std::uint64_t, time_ms> crashes; ///< Not yet explained, with their times.
        std::size_t started = 0; ///< Requests with the fingerprint that had begun to respond.
    };
    using evidence_map = std::map<fingerprint, evidence>;

    void rebuild(time_ms now);
    [[nodiscard]] evidence_map collect_evidence(time_ms now);
    [[nodiscard]] bool qualifies(fingerprint print, const evidence& found) const;
    [[nodiscard]] std::optional<fingerprint> best_explanation(const evidence_map& found) const;
    [[nodiscard]] std::vector<fingerprint> indistinguishable_prints(fingerprint chosen,
                                                                    const evidence_map& found) const;
    [[nodiscard]] std::set<fingerprint> find_contested(time_ms now) const;
    /// Whether the record belongs to an explained crash that another request caused, and has been passed on.
    [[nodiscard]] bool is_obsolete(const crash_suspect& suspect, time_ms age) const;
    [[nodiscard]] bool is_cleared(fingerprint print, time_ms crashed_at) const;
    /// Adds the record to the update unless it is obsolete.
    void append_suspect(crash_update& update, const record& one, time_ms now) const;
    [[nodiscard]] const quarantine_entry* find_entry(std::span<const fingerprint> prints) const;
    void limit_cleared(time_ms now);
    /// Adds what is known of the suspects' fingerprints to the update, at most `limit` reports in all.
    void append_cleared(crash_update& update, std::size_t limit, time_ms now) const;

    crash_quarantine_settings settings;
    std::vector<record> records;
    std::map<fingerprint, time_ms> cleared; ///< When the latest request that ran without a crash started.
    std::vector<quarantine_entry> quarantined;
    std::map<std::uint64_t, std::size_t> explained; ///< Crashes with the index of the entry that caused them.
    std::set<fingerprint> contested;
    std::map<fingerprint, time_ms> next_probes; ///< By the first fingerprint of an entry.
    std::size_t repeat_cursor = 0;
    time_ms pending_until;    ///< When the next crash that does not count yet will count; zero if none.
    bool is_outdated = false; ///< `quarantined` does not reflect all records and successes yet.
};

} // namespace coriander
