#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Limits how often this daemon sends a manifest to the same peer. A peer's heartbeat confirms a version only
/// seconds later, and a manifest with many routes can saturate a slow link, so it must not be sent again in
/// every round until then. Must be used on the event loop's thread only.
class sent_manifests {
public:
    /// Whether the version is due to be sent to the peer; if so, records it as sent at `now`.
    [[nodiscard]] bool mark_sent_if_due(const std::string& peer, std::uint64_t version, time_ms now)
    {
        auto& last = this->peers[peer];
        if (last.version == version && now - last.at < resend_interval) {
            return false;
        }
        last = {version, now};
        return true;
    }

private:
    /// The peer's next heartbeat takes some rounds of 0.4 s to arrive here. Also the shortest time limit for
    /// a manifest to come into force.
    static constexpr time_ms resend_interval{2000};

    struct last_send {
        std::uint64_t version = 0;
        time_ms at;
    };

    std::map<std::string, last_send> peers;
};

} // namespace coriander
