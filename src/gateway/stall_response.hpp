#pragma once

#include "coriander/clock.hpp"
#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_session.hpp"
#include "runtime/log.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Times of the response to a replica that stands still.
struct stall_response_settings {
    /// A sound host answers within a round trip; a longer silence is taken as its loss.
    time_ms ask_limit{120};
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
    /// `changed` is called when a host was found to be lost.
    stall_response(Io& io, relay_context& context, fleet_view& view, std::function<void()> changed,
                   stall_response_settings settings = {})
        : io{io}, context{context}, view{view}, changed{std::move(changed)}, settings{settings}
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

private:
    struct inquiry {
        std::size_t open = 0;
        std::vector<std::string> silent;
    };

    void on_suspect(const std::string& service, service_state& state, const relay_target& target, time_ms now)
    {
        auto& asked_at = this->inquiries[target.id];
        if (now - asked_at < this->settings.inquiry_pause) {
            return;
        }
        asked_at = now;
        state.board.suspend(target.id, suspension::silent, now + this->settings.ask_limit);
        const auto* replica = this->view.find_replica(service, target.id);
        if (replica == nullptr) {
            leave(state, target.id);
            return;
        }
        auto asked = std::make_shared<inquiry>();
        asked->open = replica->hosts.size();
        for (const auto& member : replica->hosts) {
            listed_host host;
            const auto* known = this->view.find_host(member.id);
            if (known != nullptr) {
                host = *known;
            }
            host.id = member.id;
            host.address = member.address;
            this->io.ask_now(host, this->settings.ask_limit,
                             [this, asked, service, target, member](std::optional<host_status> status) {
                                 const bool is_same = status && status->incarnation == member.incarnation;
                                 if (!is_same) {
                                     asked->silent.push_back(member.id);
                                 }
                                 if (--asked->open == 0) {
                                     this->conclude(service, target, *asked);
                                 }
                             });
        }
    }

    void conclude(const std::string& service, const relay_target& target, const inquiry& asked)
    {
        const auto now = this->context.clock.now();
        auto& state = this->context.service(service);
        log_event(event::replica_suspected,
                  {{"replica", target.id},
                   {"leader", target.host},
                   {"silent_hosts", asked.silent.size()},
                   {"first_silent", asked.silent.empty() ? std::string{} : asked.silent.front()},
                   {"requests", state.board.own_requests(target.id)},
                   {"still_silent", state.board.is_suspect(target.id, now) ? "yes" : "no"}});
        if (!asked.silent.empty()) {
            for (const auto& host : asked.silent) {
                this->view.mark_silent(host, now);
            }
            state.board.suspend(target.id, suspension::silent, now + this->settings.avoidance);
            leave(state, target.id);
            this->changed();
            return;
        }
        state.board.restore(target.id);
        if (state.board.silence(target.id, now) > this->settings.unexplained_limit) {
            state.board.suspend(target.id, suspension::silent, now + this->settings.avoidance);
            leave(state, target.id, true);
        }
    }

    Io& io;
    relay_context& context;
    fleet_view& view;
    std::function<void()> changed;
    stall_response_settings settings;
    std::map<std::string, time_ms> inquiries; ///< When each replica's hosts were last asked.
};

} // namespace coriander
