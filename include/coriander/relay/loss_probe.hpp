#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Settings of the probes that establish whether a host is lost.
struct loss_probe_settings {
    /// A healthy host answers within a round trip of a few milliseconds.
    time_ms timeout{40};
    /// A host that fails to answer this many probes, each on a new connection, is considered lost. At a
    /// packet loss of one in twelve, one probe in four fails.
    unsigned max_rounds = 3;
};

/// Result of the probe rounds so far.
enum class loss_probe_result {
    all_answered, ///< No host is lost, although the replica may be stalled.
    progressing,  ///< An event arrived meanwhile; a replica that has lost a host sends none.
    probe_again,  ///< The remaining hosts, or just their packets, may be lost.
    lost,         ///< The remaining hosts did not answer in any round.
};

/// Keeps track of probes to the hosts of a replica that is suspected to be stalled, to find out which hosts
/// are lost. On a lossy link a healthy host's answer is often late, so a single unanswered round proves
/// nothing: each round probes the hosts again that have not answered yet. Not thread-safe.
class loss_probe {
public:
    /// Preconditions: `hosts` is not empty, `rounds` is at least 1.
    loss_probe(std::vector<std::string> hosts, unsigned rounds)
        : unanswered{std::move(hosts)}, open_probes{this->unanswered.size()}, rounds_left{rounds}
    {
    }

    /// The hosts to probe in this round; after the last round, the lost hosts.
    [[nodiscard]] const std::vector<std::string>& unanswered_hosts() const noexcept
    {
        return this->unanswered;
    }

    /// Records the end of a probe of this round. Returns whether it was the last one.
    bool on_ended(const std::string& host, bool has_answered)
    {
        if (has_answered) {
            std::erase(this->unanswered, host);
        }
        return --this->open_probes == 0;
    }

    /// Evaluates a round whose probes have all ended. `has_progressed` tells whether an event has arrived
    /// from the replica since the first round. A result of `probe_again` begins the next round.
    [[nodiscard]] loss_probe_result conclude(bool has_progressed)
    {
        if (this->unanswered.empty()) {
            return loss_probe_result::all_answered;
        }
        if (has_progressed) {
            return loss_probe_result::progressing;
        }
        if (--this->rounds_left == 0) {
            return loss_probe_result::lost;
        }
        this->open_probes = this->unanswered.size();
        return loss_probe_result::probe_again;
    }

private:
    std::vector<std::string> unanswered;
    std::size_t open_probes;
    unsigned rounds_left;
};

} // namespace coriander
