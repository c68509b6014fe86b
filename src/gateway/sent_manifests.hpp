#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Which manifests this daemon has sent to which peers. A peer's beat tells only seconds later that it has a
/// version, and a manifest of many routes fills a small link, so that it must not be sent in each round until
/// then. Used on the loop's thread only.
class sent_manifests {
public:
    /// Whether the version is to be sent to the peer now; it counts as sent if so.
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
    /// The way of the peer's next beat back to here takes some rounds of 0.4 s; the least bound in which a
    /// manifest must be in force is as long.
    static constexpr time_ms resend_interval{2000};

    struct last_send {
        std::uint64_t version = 0;
        time_ms at;
    };

    std::map<std::string, last_send> peers;
};

} // namespace coriander
