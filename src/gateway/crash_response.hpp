#pragma once

#include "coriander/digest.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"
#include "gateway/process_check.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_events.hpp"
#include "gateway/relay_session.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Finds out whether hosts whose connections closed have crashed. Crashed hosts count as lost at once, long
/// before the platform's host list shows it, so that their replicas get no more requests and are replaced.
/// Reports the requests that were on them to the quarantine, and ends waiting requests that become
/// quarantined. Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class crash_response {
public:
    /// Called with the hosts that were found to be lost.
    using on_lost = std::function<void(std::span<const std::string>)>;

    crash_response(Io& io, relay_context& context, fleet_view& view, on_lost report_lost)
        : processes{io}, context{context}, view{view}, report_lost{std::move(report_lost)}
    {
        this->context.on_connection_closed = [this](const std::string& host) {
            this->on_connection_closed(host);
        };
    }
    crash_response(const crash_response&) = delete;
    crash_response& operator=(const crash_response&) = delete;

    /// See `process_check`.
    void set_path_check(const path_check& check) { this->processes.set_path_check(check); }

    /// Finds out whether the host, which closed the connection of a running request, has crashed. It may also
    /// have reset that connection only, or leave as planned. Sessions call it through the context.
    void on_connection_closed(const std::string& id)
    {
        const auto* host = this->view.find_host(id);
        if (host == nullptr || host->is_leaving || !this->checking.insert(id).second) {
            return;
        }
        this->processes.check(*host,
                              [this, host = *host, closed_at = this->context.clock.now()](bool has_ended) {
                                  this->checking.erase(host.id);
                                  if (has_ended) {
                                      this->on_crash(host, closed_at);
                                  }
                              });
    }

    /// Merges the reports of another daemon.
    void merge(const crash_update& update)
    {
        if (!update.empty()) {
            this->context.quarantine.merge(update, this->context.clock.now());
            this->update_quarantine();
        }
    }

    /// Records the requests that have run long enough without a crash; to be called periodically.
    void check()
    {
        const auto now = this->context.clock.now();
        for (const auto& one : this->context.trials.take_cleared(now)) {
            this->context.quarantine.on_cleared(one.prints, one.started_at, now);
        }
        this->update_quarantine();
    }

private:
    void on_crash(const listed_host& host, time_ms closed_at)
    {
        const auto now = this->context.clock.now();
        const auto crash = stable_hash(host.id, host.incarnation);
        const auto suspects = this->context.trials.take_suspects(host.id, crash, now - closed_at);
        log_crash(host.id, host.incarnation, suspects, now - closed_at);
        for (const auto& suspect : suspects) {
            this->context.quarantine.add(suspect, now);
        }
        this->update_quarantine();
        // Hosts of plain services answer no status requests, which would show that they are back.
        const auto* current = this->view.find_host(host.id);
        const bool is_known =
            current != nullptr && current->incarnation == host.incarnation && !current->fabric_domain.empty();
        if (is_known && !this->view.is_silent(host.id)) {
            log_silent_host(host.id, "process ended", process_check<Io>::min_refusals, this->view, closed_at);
            this->view.mark_silent(host.id, closed_at);
            this->view.mark_ended(host.id);
            this->report_lost({&host.id, 1});
        }
        else if (is_known) {
            this->view.mark_ended(host.id);
        }
    }

    void update_quarantine()
    {
        const auto now = this->context.clock.now();
        if (!this->context.quarantine.evaluate(now)) {
            return;
        }
        log_quarantine(this->context.quarantine.entries(), now);
        std::vector<std::shared_ptr<relay_session>> waiting;
        for (auto& [name, state] : this->context.services) {
            for (const auto& [target, sessions] : state.sessions) {
                for (auto* session : sessions) {
                    waiting.push_back(session->shared_from_this());
                }
            }
        }
        for (const auto& session : waiting) {
            session->end_if_quarantined();
        }
    }

    process_check<Io> processes;
    relay_context& context;
    fleet_view& view;
    on_lost report_lost;
    std::set<std::string> checking; ///< Hosts with an inquiry in progress.
};

} // namespace coriander
