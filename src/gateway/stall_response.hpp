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
    /// How long a suspected replica gets no new work while its hosts are asked.
    time_ms suspicion{400};
    /// A replica whose hosts all answer and that stays silent is left after so many suspicions.
    unsigned patience = 2;
    /// It gets no new work for so long then.
    time_ms avoidance{1500};
};

/// Finds out why a replica stands still, and has its requests go on elsewhere. A replica stops when one of its
/// hosts is lost, long before the platform's list tells; its hosts are asked at once, and one that doesn't
/// answer settles it. Used on the loop's thread only.
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

    /// Has the requests on a target go on elsewhere.
    static void leave(service_state& state, const std::string& target)
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
            session->leave_target();
        }
    }

private:
    struct inquiry {
        std::size_t open = 0;
        std::vector<std::string> silent;
    };

    void on_suspect(const std::string& service, service_state& state, const relay_target& target,
                    time_ms now)
    {
        state.board.suspend(target.id, suspension::silent, now + this->settings.suspicion);
        const auto* replica = this->view.find_replica(service, target.id);
        if (replica == nullptr) {
            leave(state, target.id);
            return;
        }
        auto asked = std::make_shared<inquiry>();
        asked->open = replica->hosts.size();
        for (const auto& member : replica->hosts) {
            fleet_host host;
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
            this->suspicions.erase(target.id);
            this->changed();
            return;
        }
        if (!state.board.is_suspect(target.id, now)) {
            this->suspicions.erase(target.id);
            state.board.restore(target.id);
            return;
        }
        if (++this->suspicions[target.id] >= this->settings.patience) {
            this->suspicions.erase(target.id);
            state.board.suspend(target.id, suspension::silent, now + this->settings.avoidance);
            leave(state, target.id);
        }
    }

    Io& io;
    relay_context& context;
    fleet_view& view;
    std::function<void()> changed;
    stall_response_settings settings;
    std::map<std::string, unsigned> suspicions; ///< In a row, of replicas whose hosts all answered.
};

} // namespace coriander
