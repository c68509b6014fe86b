#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// How a host is asked whether it is lost.
struct loss_probe_settings {
    /// A sound host answers within a round trip of a few milliseconds.
    time_ms timeout{40};
    /// A host that doesn't answer so many questions, each over a new connection, is taken as lost. With a
    /// twelfth of the packets lost one question in four fails.
    unsigned max_rounds = 3;
};

/// What the answers of a replica's hosts say so far.
enum class loss_probe_result {
    all_answered, ///< No host is lost, though the replica may stand still.
    progressing,  ///< An event came meanwhile: a replica that has lost a host sends none.
    probe_again,  ///< The hosts left may be lost, or their packets were.
    lost,         ///< The hosts left did not answer in any round.
};

/// Asks the hosts of a replica that seems to stand still, in rounds, which of them is lost. On a link that
/// loses packets a sound host's answer is often late, so that one silent round proves nothing: each round
/// asks those that have not answered anew. Not thread-safe.
class loss_probe {
public:
    /// Preconditions: `hosts` is not empty, `rounds` is at least 1.
    loss_probe(std::vector<std::string> hosts, unsigned rounds)
        : unanswered{std::move(hosts)}, open{this->unanswered.size()}, rounds_left{rounds}
    {
    }

    /// The hosts to ask in this round; after the last round those that are lost.
    [[nodiscard]] const std::vector<std::string>& unanswered_hosts() const noexcept { return this->unanswered; }

    /// Notes that a question of this round ended. Returns whether it was the last one.
    bool on_ended(const std::string& host, bool has_answered)
    {
        if (has_answered) {
            std::erase(this->unanswered, host);
        }
        return --this->open == 0;
    }

    /// Concludes a round that has ended; `has_moved`: an event came from the replica since the inquiry began.
    /// With `probe_again` the next round is open then.
    [[nodiscard]] loss_probe_result conclude(bool has_moved)
    {
        if (this->unanswered.empty()) {
            return loss_probe_result::all_answered;
        }
        if (has_moved) {
            return loss_probe_result::progressing;
        }
        if (--this->rounds_left == 0) {
            return loss_probe_result::lost;
        }
        this->open = this->unanswered.size();
        return loss_probe_result::probe_again;
    }

private:
    std::vector<std::string> unanswered;
    std::size_t open;
    unsigned rounds_left;
};

} // namespace coriander
