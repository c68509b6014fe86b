#pragma once

#include "coriander/clock.hpp"
#include "coriander/relay/loss_probe.hpp"
#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_session.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Times of the response to a replica that stands still.
struct stall_response_settings {
    loss_probe_settings questions{};
    /// Least time between two inquiries about one replica.
    time_ms inquiry_pause{150};
    /// A replica that lost a host gets no new work for so long: its record tells of the loss by then.
    time_ms avoidance{1500};
    /// A begun stream that is silent for so long is taken up elsewhere although all hosts answer: its
    /// connection is lost, or the hosts have lost each other.
    time_ms unexplained_limit{1500};
};

/// Finds out why a replica stands still, and has its requests go on elsewhere. A replica stops when one of
/// its hosts is lost, long before the platform's list tells; its hosts are asked at once, and one that
/// doesn't answer settles it. Used on the loop's thread only.
template <controller_io Io>
class stall_response {
public:
    /// Is called with the hosts that were found to be lost.
    using on_lost = std::function<void(std::span<const std::string>)>;

    stall_response(Io& io, relay_context& context, fleet_view& view, on_lost lost,
                   stall_response_settings settings = {})
        : io{io}, context{context}, view{view}, lost{std::move(lost)}, settings{settings}
    {
    }

    /// Looks for replicas of the service that are suspected of standing still.
    void check(const std::string& service, time_ms now)
    {
        auto& state = this->context.service(service);
        for (const auto& target : state.board.suspects(now)) {
            this->on_suspect(service, state, target, now);
        }
    }

    /// Has the requests on replicas that were lost go on elsewhere; those of retiring ones may end there.
    void leave_lost(const std::string& service)
    {
        auto& state = this->context.service(service);
        std::vector<std::string> lost;
        for (const auto& [target, sessions] : state.sessions) {
            const auto* replica = this->view.find_replica(service, target);
            const bool is_lost = replica == nullptr || replica->phase == replica_phase::dissolving;
            if (!state.board.is_listed(target) && is_lost) {
                lost.push_back(target);
            }
        }
        for (const auto& target : lost) {
            leave(state, target);
        }
    }

private:
    struct inquiry {
        std::string service;
        relay_target target;
        std::vector<replica_host> members;
        loss_probe asked;
        time_ms begun_at;
    };

    /// Has the requests on a target go on elsewhere; with `only_begun` only those whose answer has begun.
    static void leave(service_state& state, const std::string& target, bool only_begun = false)
    {
        const auto open = state.sessions.find(target);
        if (open == state.sessions.end()) {
            return;
        }
        std::vector<std::shared_ptr<relay_session>> sessions;
        for (auto* session : open->second) {
            sessions.push_back(session->shared_from_this());
        }
        for (const auto& session : sessions) {
            if (!only_begun || session->has_begun()) {
                session->leave_target();
            }
        }
    }

    void on_suspect(const std::string& service, service_state& state, const relay_target& target, time_ms now)
    {
        auto& asked_at = this->inquiries[target.id];
        if (now - asked_at < this->settings.inquiry_pause) {
            return;
        }
        asked_at = now;
        const auto* replica = this->view.find_replica(service, target.id);
        if (replica == nullptr) {
            leave(state, target.id);
            return;
        }
        std::vector<std::string> ids;
        for (const auto& member : replica->hosts) {
            ids.push_back(member.id);
        }
        this->ask_round(std::make_shared<inquiry>(inquiry{
            service, target, replica->hosts, {std::move(ids), this->settings.questions.max_rounds}, now}));
    }

    void ask_round(const std::shared_ptr<inquiry>& open)
    {
        const auto now = this->context.clock.now();
        this->context.service(open->service)
            .board.suspend(open->target.id, suspension::stalled, now + this->settings.questions.timeout);
        const auto hosts = open->asked.unanswered_hosts();
        for (const auto& member : open->members) {
            if (std::find(hosts.begin(), hosts.end(), member.id) != hosts.end()) {
                this->ask(open, member);
            }
        }
    }

    void ask(const std::shared_ptr<inquiry>& open, const replica_host& member)
    {
        listed_host host;
        const auto* known = this->view.find_host(member.id);
        if (known != nullptr) {
            host = *known;
        }
        host.id = member.id;
        host.address = member.address;
        this->io.ask_now(host, this->settings.questions.timeout,
                         [this, open, member](std::optional<host_status> status) {
                             const bool is_same = status && status->incarnation == member.incarnation;
                             if (open->asked.on_ended(member.id, is_same)) {
                                 this->conclude(open);
                             }
                         });
    }

    void conclude(const std::shared_ptr<inquiry>& open)
    {
        const auto now = this->context.clock.now();
        const auto& target = open->target;
        auto& state = this->context.service(open->service);
        const auto silence = state.board.silence(target.id, now);
        const bool has_moved = state.board.own_requests(target.id) > 0 && silence < now - open->begun_at;
        const auto verdict = open->asked.conclude(has_moved);
        if (verdict == loss_probe_result::probe_again) {
            this->ask_round(open);
            return;
        }
        const auto& silent = open->asked.unanswered_hosts();
        log_event(event::replica_suspected,
                  {{"replica", target.id},
                   {"leader", target.host},
                   {"silent_hosts", silent.size()},
                   {"first_silent", silent.empty() ? std::string{} : silent.front()},
                   {"requests", state.board.own_requests(target.id)},
                   {"silence", silence},
                   {"moves", has_moved ? "yes" : "no"}});
        if (verdict == loss_probe_result::lost) {
            // Where no host answers, this daemon may be the one that is cut off, and there is no survivor for
            // whom the others' knowing would be urgent: the list will tell.
            if (silent.size() < open->members.size()) {
                this->mark_lost(silent, now);
            }
            state.board.suspend(target.id, suspension::stalled, now + this->settings.avoidance);
            leave(state, target.id);
            return;
        }
        state.board.restore(target.id);
        if (silence > this->settings.unexplained_limit) {
            state.board.suspend(target.id, suspension::stalled, now + this->settings.avoidance);
            leave(state, target.id, true);
        }
    }

    void mark_lost(const std::vector<std::string>& hosts, time_ms now)
    {
        for (const auto& host : hosts) {
            log_silent_host(host, "unanswered questions", this->settings.questions.max_rounds, this->view,
                            now);
            this->view.mark_silent(host);
        }
        this->lost(hosts);
    }

    Io& io;
    relay_context& context;
    fleet_view& view;
    on_lost lost;
    stall_response_settings settings;
    std::map<std::string, time_ms> inquiries; ///< When each replica's hosts were last asked.
};

} // namespace coriander
