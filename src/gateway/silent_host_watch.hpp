#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_view.hpp"
#include "runtime/log.hpp"

#include <optional>

namespace coriander {

/// Asks hosts that did not answer whether they do again: a host that was cut off or paused comes back as if
/// nothing had happened, and would never be used again otherwise. Hosts that are gone leave the list soon.
/// Used on the loop's thread only.
template <controller_io Io>
class silent_host_watch {
public:
    silent_host_watch(Io& io, fleet_view& view) : io{io}, view{view} {}

    /// Asks each silent host that the list still holds. Call about once a second.
    void probe_all(time_ms now)
    {
        for (const auto& [id, incarnation] : this->view.silent()) {
            const auto* host = this->view.find_host(id);
            if (host == nullptr) {
                continue;
            }
            this->io.probe(*host, ask_limit, [this, id = id, now](std::optional<host_status> status) {
                const auto* known = this->view.find_host(id);
                if (status && known != nullptr && known->incarnation == status->incarnation) {
                    log_event(event::host_answers, {{"host", id}, {"domain", known->fabric_domain}});
                    this->view.clear_silent(id);
                    this->view.update_host(id, *status, now);
                }
            });
        }
    }

private:
    /// A host that answers within this time may be used again.
    static constexpr time_ms ask_limit{200};

    Io& io;
    fleet_view& view;
};

} // namespace coriander
