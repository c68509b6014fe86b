#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"
#include "gateway/process_check.hpp"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace coriander {

/// Finds out whether silent hosts have ended, so that their replicas need not wait for them. Not thread-safe:
/// used on the event loop's thread only.
template <controller_io Io>
class ended_host_check {
public:
    /// `on_ended` is called when a host has been found to have ended.
    ended_host_check(Io& io, fleet_view& view, std::function<void()> on_ended)
        : view{view}, on_ended{std::move(on_ended)}, processes{io}
    {
    }

    /// See `process_check`.
    void set_path_check(const path_check& check) { this->processes.set_path_check(check); }

    /// Checks the silent hosts of the record's replicas, unless a check of them is in progress.
    void check(const domain_record& record, time_ms now)
    {
        for (const auto& replica : record.replicas) {
            for (const auto& member : replica.hosts) {
                const auto found = this->view.silent().find(member.id);
                const bool is_undecided = found != this->view.silent().end() &&
                                          found->second.incarnation == member.incarnation &&
                                          found->second.may_be_sound(now);
                if (is_undecided && this->checking.insert(member.id).second) {
                    this->check_host(member);
                }
            }
        }
    }

private:
    void check_host(const replica_host& member)
    {
        const auto* host = this->view.find_host(member.id);
        if (host == nullptr || host->incarnation != member.incarnation) {
            this->checking.erase(member.id);
            return;
        }
        this->processes.check(*host, [this, member](bool has_ended) {
            this->checking.erase(member.id);
            const auto* current = this->view.find_host(member.id);
            if (has_ended && current != nullptr && current->incarnation == member.incarnation) {
                log_ended_host(member.id);
                this->view.mark_ended(member.id);
                this->on_ended();
            }
        });
    }

    fleet_view& view;
    std::function<void()> on_ended;
    process_check<Io> processes;
    std::set<std::string> checking; ///< Hosts with a check in progress.
};

} // namespace coriander
