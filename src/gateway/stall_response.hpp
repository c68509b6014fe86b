#pragma once

#include "coriander/clock.hpp"
#include "coriander/lost_host.hpp"
#include "coriander/relay/loss_probe.hpp"
#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"
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

/// Timeouts and intervals of the response to a stalled replica.
struct stall_response_settings {
    loss_probe_settings inquiry{};
    /// Minimum time between two inquiries about one replica.
    time_ms inquiry_interval{150};
    /// How long a replica that lost a host gets no new work. By then its record contains the loss.
    time_ms suspension_time{1500};
    /// A started stream without events for this long is resumed on another replica even if all hosts answer:
    /// its connection is lost, or the hosts cannot reach each other.
    time_ms stream_stall_timeout{1500};
    /// Targets without progress for this long are left when the path to the service's hosts is lost; others
    /// may go on over the connections that they have.
    time_ms silence_without_path{120};
    /// Silence after which a daemon that may ask others to probe does so. Longer than the usual threshold:
    /// one that sees few of the replica's streams often takes the reading of long prompts for a stall.
    time_ms silence_to_ask{220};
    /// How long it waits for what they find out before it probes itself.
    time_ms answer_wait{250};
};

/// Investigates stalled replicas and moves their requests to other replicas. A replica stops when it loses a
/// host, long before the platform's host list shows the loss. Its hosts are therefore probed at once; if one
/// does not answer, the replica is lost. Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class stall_response {
public:
    /// Called with the hosts that were found to be lost.
    using on_lost = std::function<void(std::span<const std::string>)>;

    stall_response(Io& io, relay_context& context, fleet_view& view, on_lost report_lost,
                   stall_response_settings settings = {})
        : io{io}, context{context}, view{view}, report_lost{std::move(report_lost)}, settings{settings}
    {
    }

    /// Sets the check that precedes the conclusion that hosts are lost. Without it, the path is taken for
    /// granted.
    void set_path_check(const path_check& check) { this->check_path = check; }

    /// Asks the daemons that act on the domain to probe these hosts of a replica. Returns whether there are
    /// any to ask; if not, this daemon probes itself. Without hosts, only finds that out.
    using ask_others = std::function<bool(const domain_key&, std::vector<lost_host>)>;

    /// Sets how others are asked. Without it, this daemon probes. What the others find lost shows in the
    /// domain's record.
    void set_delegation(const ask_others& ask) { this->ask = ask; }

    /// Starts an inquiry for each replica of the service that appears to be stalled.
    void check(const std::string& service, time_ms now)
    {
        auto& state = this->context.service(service);
        for (const auto& target : state.board.suspects(now)) {
            this->investigate(service, state, target, now);
        }
    }

    /// Moves requests off lost replicas. Requests on retiring replicas may finish there.
    void abandon_lost_replicas(const std::string& service)
    {
        auto& state = this->context.service(service);
        move_requests_if(state, [&](const std::string& target) {
            const auto* replica = this->view.find_replica(service, target);
            const bool is_lost = replica == nullptr || replica->phase == replica_phase::dissolving;
            return !state.board.is_listed(target) && is_lost;
        });
    }

    /// Moves the requests off targets that are silent, since this daemon has no path to the service's hosts.
    void abandon_silent_targets(const std::string& service)
    {
        auto& state = this->context.service(service);
        const auto now = this->context.clock.now();
        move_requests_if(state, [&](const std::string& target) {
            return state.board.silence(target, now) >= this->settings.silence_without_path;
        });
    }

private:
    struct inquiry {
        std::string service;
        relay_target target;
        std::vector<replica_host> members;
        loss_probe probes;
        time_ms started_at;
    };

    /// Moves a target's requests to other targets; with `only_started` only those whose answer has started.
    static void move_requests(service_state& state, const std::string& target, bool only_started = false)
    {
        const auto found = state.sessions.find(target);
        if (found == state.sessions.end()) {
            return;
        }
        std::vector<std::shared_ptr<relay_session>> sessions;
        for (auto* session : found->second) {
            sessions.push_back(session->shared_from_this());
        }
        for (const auto& session : sessions) {
            if (!only_started || session->has_begun()) {
                session->fail_over();
            }
        }
    }

    /// Moves the requests off the targets that satisfy the predicate.
    template <typename Predicate>
    static void move_requests_if(service_state& state, Predicate must_leave)
    {
        std::vector<std::string> targets;
        for (const auto& [target, sessions] : state.sessions) {
            if (must_leave(target)) {
                targets.push_back(target);
            }
        }
        for (const auto& target : targets) {
            move_requests(state, target);
        }
    }

    void investigate(const std::string& service, service_state& state, const relay_target& target,
                     time_ms now)
    {
        auto& last_inquiry = this->last_inquiries[target.id];
        if (now - last_inquiry < this->settings.inquiry_interval ||
            this->waits_for_others(state, target, now)) {
            return;
        }
        last_inquiry = now;
        const auto* replica = this->view.find_replica(service, target.id);
        if (replica == nullptr) {
            move_requests(state, target.id);
            return;
        }
        std::vector<std::string> ids;
        for (const auto& member : replica->hosts) {
            ids.push_back(member.id);
        }
        this->probe_round(std::make_shared<inquiry>(inquiry{
            service, target, replica->hosts, {std::move(ids), this->settings.inquiry.max_rounds}, now}));
    }

    /// Whether this daemon leaves the inquiry to others for now. They are asked once for each suspicion.
    bool waits_for_others(service_state& state, const relay_target& target, time_ms now)
    {
        const auto* leader = this->view.find_host(target.host);
        const auto* replica =
            leader == nullptr ? nullptr : this->view.find_replica(leader->service, target.id);
        if (replica == nullptr) {
            return false;
        }
        auto& asked_at = this->asked[target.id];
        if (asked_at && now - *asked_at < this->settings.inquiry_interval + this->settings.answer_wait * 2) {
            return now - *asked_at < this->settings.answer_wait;
        }
        asked_at.reset();
        std::vector<lost_host> members;
        for (const auto& member : replica->hosts) {
            members.push_back({member.id, member.incarnation});
        }
        const bool is_silent_enough = state.board.silence(target.id, now) >= this->settings.silence_to_ask;
        const domain_key key{leader->service, leader->fabric_domain};
        if (!this->ask(key, is_silent_enough ? std::move(members) : std::vector<lost_host>{})) {
            return false;
        }
        if (is_silent_enough) {
            asked_at = now;
            state.board.suspend(target.id, suspension::probed, now + this->settings.answer_wait);
        }
        return true;
    }

    void probe_round(const std::shared_ptr<inquiry>& pending)
    {
        const auto now = this->context.clock.now();
        this->context.service(pending->service)
            .board.suspend(pending->target.id, suspension::probed, now + this->settings.inquiry.timeout);
        const auto hosts = pending->probes.unanswered_hosts();
        for (const auto& member : pending->members) {
            if (std::find(hosts.begin(), hosts.end(), member.id) != hosts.end()) {
                this->probe_host(pending, member);
            }
        }
    }

    void probe_host(const std::shared_ptr<inquiry>& pending, const replica_host& member)
    {
        listed_host host;
        const auto* known = this->view.find_host(member.id);
        if (known != nullptr) {
            host = *known;
        }
        host.id = member.id;
        host.address = member.address;
        this->io.probe(host, this->settings.inquiry.timeout,
                       [this, pending, member](std::optional<host_status> status) {
                           const bool is_same = status && status->incarnation == member.incarnation;
                           if (pending->probes.on_ended(member.id, is_same)) {
                               this->conclude(pending);
                           }
                       });
    }

    void conclude(const std::shared_ptr<inquiry>& pending)
    {
        const auto now = this->context.clock.now();
        const auto& target = pending->target;
        auto& state = this->context.service(pending->service);
        const auto silence = state.board.silence(target.id, now);
        const bool has_progress =
            state.board.own_requests(target.id) > 0 && silence < now - pending->started_at;
        const auto verdict = pending->probes.conclude(has_progress);
        if (verdict == loss_probe_result::probe_again) {
            this->probe_round(pending);
            return;
        }
        const auto& silent = pending->probes.unanswered_hosts();
        log_event(event::replica_suspected,
                  {{"replica", target.id},
                   {"leader", target.host},
                   {"silent_hosts", silent.size()},
                   {"first_silent", silent.empty() ? std::string{} : silent.front()},
                   {"requests", state.board.own_requests(target.id)},
                   {"silence", silence},
                   {"moves", has_progress ? "yes" : "no"}});
        if (verdict == loss_probe_result::lost) {
            // If no host answers, the replica has no surviving hosts to reassign, so that the other daemons
            // can wait for the host list to show the loss.
            const bool has_survivors = silent.size() < pending->members.size();
            state.board.suspend(target.id, suspension::stalled, now + this->settings.suspension_time);
            this->confirm_loss(has_survivors ? silent : std::vector<std::string>{}, *pending);
            return;
        }
        state.board.restore(target.id);
        if (silence > this->settings.stream_stall_timeout) {
            state.board.suspend(target.id, suspension::stalled, now + this->settings.suspension_time);
            move_requests(state, target.id, true);
        }
    }

    /// Marks the hosts as lost if the path to others works, and moves the requests of their replica. Checks
    /// the path even if there is no host to mark: it shows how the requests can be sent.
    void confirm_loss(const std::vector<std::string>& hosts, const inquiry& ended)
    {
        const auto* suspect = this->view.find_host(hosts.empty() ? ended.target.host : hosts.front());
        const auto proceed = [this, hosts, service = ended.service, target = ended.target.id,
                              since = ended.started_at](bool has_path) {
            if (has_path && !hosts.empty()) {
                this->mark_lost(hosts, since, this->context.clock.now());
            }
            move_requests(this->context.service(service), target);
        };
        if (suspect == nullptr) {
            proceed(false);
            return;
        }
        this->check_path(*suspect, proceed);
    }

    void mark_lost(const std::vector<std::string>& hosts, time_ms since, time_ms now)
    {
        for (const auto& host : hosts) {
            log_silent_host(host, "unanswered probes", this->settings.inquiry.max_rounds, this->view, now);
            this->view.mark_silent(host, since);
        }
        this->report_lost(hosts);
    }

    Io& io;
    relay_context& context;
    fleet_view& view;
    on_lost report_lost;
    stall_response_settings settings;
    path_check check_path = without_path_check();
    ask_others ask = [](const domain_key&, const std::vector<lost_host>&) { return false; };
    std::map<std::string, std::optional<time_ms>> asked; ///< When others were asked, by replica.
    std::map<std::string, time_ms> last_inquiries;       ///< When each replica's last inquiry started.
};

} // namespace coriander
