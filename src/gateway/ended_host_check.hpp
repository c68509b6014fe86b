#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace coriander {

/// Finds out whether silent hosts have ended, so that their replicas need not wait for them: a port that
/// refuses connections has no process, while a host that is only silent still listens or answers nothing. Not
/// thread-safe: used on the event loop's thread only.
template <controller_io Io>
class ended_host_check {
public:
    /// `on_ended` is called when a host has been found to have ended.
    ended_host_check(Io& io, fleet_view& view, std::function<void()> on_ended)
        : io{io}, view{view}, on_ended{std::move(on_ended)}
    {
    }

    /// Sets the check that precedes the conclusion that a host has ended. Without it, the path is taken for
    /// granted.
    void set_path_check(path_check check) { this->check_path = std::move(check); }

    /// Checks the silent hosts of the record's replicas, unless a check of them is in progress.
    void check(const domain_record& record, time_ms now)
    {
        for (const auto& replica : record.replicas) {
            for (const auto& member : replica.hosts) {
                const auto found = this->view.silent().find(member.id);
                const bool is_undecided =
                    found != this->view.silent().end() && found->second.incarnation == member.incarnation &&
                    !found->second.has_ended && now - found->second.since < max_sound_silence;
                if (is_undecided && this->checking.insert(member.id).second) {
                    this->check_port(member, 0);
                }
            }
        }
    }

private:
    /// A single refused connection may be one that was reset while it was opened.
    static constexpr unsigned min_refusals = 2;
    static constexpr time_ms check_timeout{40};

    void check_port(const replica_host& member, unsigned refusals)
    {
        const auto* host = this->view.find_host(member.id);
        if (host == nullptr || host->incarnation != member.incarnation) {
            this->checking.erase(member.id);
            return;
        }
        this->io.check_port(*host, check_timeout, [this, member, refusals](port_state state) {
            const bool is_refused = state == port_state::refused;
            if (is_refused && refusals + 1 < min_refusals) {
                this->check_port(member, refusals + 1);
                return;
            }
            const auto* refusing = this->view.find_host(member.id);
            if (!is_refused || refusing == nullptr || refusing->incarnation != member.incarnation) {
                this->checking.erase(member.id);
                return;
            }
            this->check_path(*refusing, [this, member](bool has_path) {
                this->checking.erase(member.id);
                if (has_path) {
                    log_ended_host(member.id);
                    this->view.mark_ended(member.id);
                    this->on_ended();
                }
            });
        });
    }

    Io& io;
    fleet_view& view;
    std::function<void()> on_ended;
    path_check check_path = without_path_check();
    std::set<std::string> checking; ///< Hosts with a check in progress.
};

} // namespace coriander
