#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_view.hpp"
#include "runtime/log.hpp"

#include <optional>

namespace coriander {

/// Marks a silent host as answering if the status is of the incarnation that fell silent.
inline void clear_if_answering(fleet_view& view, const std::string& id, const host_status& status)
{
    const auto* known = view.find_host(id);
    if (view.is_silent(id) && known->incarnation == status.incarnation) {
        log_event(event::host_answers, {{"host", id}, {"domain", known->fabric_domain}});
        view.clear_silent(id);
    }
}

/// Probes silent hosts until they answer again. A host that was disconnected or paused keeps its incarnation,
/// so that without a probe it would never be used again. Lost hosts soon disappear from the list. Not
/// thread-safe: used on the event loop's thread only.
template <controller_io Io>
class silent_host_watch {
public:
    silent_host_watch(Io& io, fleet_view& view) : io{io}, view{view} {}

    /// Probes each silent host that is still listed. Call about once a second.
    void probe_all(time_ms now)
    {
        for (const auto& [id, silence] : this->view.silent()) {
            const auto* host = this->view.find_host(id);
            if (host == nullptr) {
                continue;
            }
            this->io.probe(*host, probe_timeout, [this, id = id, now](std::optional<host_status> status) {
                const auto* known = this->view.find_host(id);
                if (status && known != nullptr && known->incarnation == status->incarnation) {
                    clear_if_answering(this->view, id, *status);
                    this->view.update_host(id, *status, now);
                }
            });
        }
    }

private:
    /// A host that answers within this time is used again.
    static constexpr time_ms probe_timeout{200};

    Io& io;
    fleet_view& view;
};

} // namespace coriander
