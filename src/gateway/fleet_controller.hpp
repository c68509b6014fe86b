#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/formation_plan.hpp"
#include "coriander/replicas/kept_requests.hpp"
#include "coriander/replicas/load_plan.hpp"
#include "coriander/shard_choice.hpp"
#include "coriander/table_store.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/controller_settings.hpp"
#include "gateway/domain_work.hpp"
#include "gateway/ended_host_check.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_planner.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/order_sender.hpp"
#include "gateway/path_check.hpp"
#include "gateway/record_phases.hpp"
#include "gateway/silent_host_watch.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Forms, monitors and repairs the replicas of engine services. Every daemon runs a controller. A domain's
/// record names the owner, which acts on the domain; another daemon takes over if the owner does not act.
/// Consistency relies on the record's version only: a commit fails if another daemon has changed the record.
/// Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class fleet_controller {
public:
    fleet_controller(Io& io, fleet_view& view, std::string self, controller_settings settings = {})
        : io{io}, view{view}, planner{view, settings},
          ended_hosts{io, view, [this] { this->progress_listener(); }}, self{std::move(self)}, settings{
                                                                                                   settings}
    {
    }

    /// Sets whether loads of weights are fast and not rate limited, as before the first request.
    void set_cheap_loads(bool are_cheap) { this->planner.set_cheap_loads(are_cheap); }

    /// Sets how many replicas each model of a service needs for the current load.
    void set_needed_replicas(const std::string& service, const std::map<std::string, double>& replicas)
    {
        this->planner.set_needed_replicas(service, replicas);
    }

    /// Sets the function that is called when an answer may require a new `tick`. It must not call `tick`
    /// synchronously.
    void set_progress_listener(const std::function<void()>& listener) { this->progress_listener = listener; }

    /// Sets the check that precedes the conclusion that a host is lost. Without it, the path is taken for
    /// granted.
    void set_path_check(const path_check& check)
    {
        this->orders.set_path_check(check);
        this->ended_hosts.set_path_check(check);
    }

    /// Sets the check of whether all live daemons report the requests that they keep on dissolving replicas;
    /// an older build doesn't. Without it, they do.
    void set_report_check(const std::function<bool()>& check) { this->do_all_report = check; }

    /// Sets the check of whether this daemon reaches the table. Without it, it does.
    void set_table_check(const std::function<bool()>& check) { this->reaches_table = check; }

    /// Records that a daemon keeps requests on a dissolving replica.
    void on_kept_requests(const kept_requests& report, time_ms now)
    {
        if (const auto key = parse_domain_key(report.row_key)) {
            this->work[*key].kept_until[report.replica] = now + this->settings.kept_report_validity;
        }
    }

    /// Whether this daemon owns a domain of the service, or is writing the record of one.
    [[nodiscard]] bool owns_domain_of(const std::string& service) const
    {
        const auto domains = this->view.domains_of(service);
        return std::any_of(domains.begin(), domains.end(), [&](const domain_key& key) {
            const auto found = this->work.find(key);
            const bool is_committing = found != this->work.end() && found->second.is_committing;
            return is_committing || this->view.domain(key).record.owner == this->self;
        });
    }

    /// Performs due work in all domains of the service. Returns the maximum delay until the next call.
    /// Preconditions: the service has an engine.
    time_ms tick(const relay_service& service, time_ms now)
    {
        bool is_busy = false;
        this->view.expire_reports(now);
        this->note_table_reach();
        auto plan = this->planner.plan(service, now);
        this->loads = std::move(plan.loads);
        this->held = std::move(plan.held);
        for (const auto& key : this->view.domains_of(service.name)) {
            is_busy = this->tick_domain(service, key, plan.replicas, now) || is_busy;
        }
        return is_busy ? this->settings.status_interval : idle_interval;
    }

private:
    static constexpr time_ms idle_interval{500};
    /// A commit that fails again and again is tried every eight times `commit_retry_delay`.
    static constexpr unsigned max_commit_doublings = 3;

    domain_view view_of(const domain_record& record, std::span<const listed_host> hosts,
                        const domain_work& work, time_ms now) const
    {
        return {&record,
                hosts,
                &this->view.silent(),
                &work.timing.finished(),
                &work.staging.overdue(),
                now,
                record.owner == this->self,
                &this->held};
    }

    /// Returns whether the domain has work in progress. Skips a domain of another daemon in which nothing has
    /// changed since there was nothing to do.
    bool tick_domain(const relay_service& service, const domain_key& key, const formation& planned,
                     time_ms now)
    {
        auto& work = this->work[key];
        const auto changes = this->view.change_count(key);
        if (work.idle_at == changes && !planned.contains(key.domain)) {
            return false;
        }
        work.idle_at.reset();
        if (this->awaits_newer_record(key, work, now)) {
            return true;
        }
        const bool is_busy = this->work_on(service, key, planned, now);
        const auto& record = this->view.domain(key).record;
        const bool has_other_owner = !record.owner.empty() && record.owner != this->self;
        if (has_other_owner && !is_busy && record.loads.empty()) {
            work.idle_at = changes;
        }
        return is_busy;
    }

    /// Brings what is known about the progress of the domain's work up to date.
    void update_progress(const relay_service& service, const domain_record& record, domain_work& work,
                         time_ms now)
    {
        work.timing.update(record, *service.engine, this->settings, this->planner.loads_are_cheap(), now);
        work.staging.update(record, this->settings.load_timeout, now);
        if (has_phase(record, replica_phase::warming)) {
            work.next_warming_at = now + this->settings.warming_interval;
        }
        if (record.owner == this->self) { // Only the owner gets the reports.
            work.update_kept(record, this->settings, this->do_all_report, now);
        }
    }

    /// Decides what is due in the domain, and does it if it is this daemon's turn. Returns whether work is in
    /// progress.
    bool work_on(const relay_service& service, const domain_key& key, const formation& planned, time_ms now)
    {
        auto& work = this->work[key];
        const auto& current = this->view.domain(key);
        const auto hosts = this->view.hosts_of(key);
        this->update_progress(service, current.record, work, now);
        const auto view = this->view_of(current.record, *hosts, work, now);
        auto decision = plan_domain(view);
        if (current.record.owner == this->self) { // One line of the daemon that acts, not one of each.
            log_replicas(event::leave_delayed, key, work.logged_waiting, decision.waiting_replicas);
            log_replicas(event::replica_held, key, work.logged_held, decision.held_replicas);
        }
        if (current.is_lost && !decision.is_changed) {
            decision.is_changed = true;
            decision.reasons.push_back({"write the record again that the restored table has lost"});
        }
        if (!decision.is_changed) {
            this->add_formation(service, key, planned, view, decision);
        }
        const bool is_owner = current.record.owner == this->self;
        const bool may_load = is_owner || (current.record.owner.empty() && this->rank_of(key) == 0);
        if (!decision.needs_action() && may_load) {
            this->add_loads(service, key, view, work, decision, now);
        }
        if (!decision.needs_action() && is_owner) {
            this->add_warming(service, key, view, work, decision, now);
        }
        if (is_owner) {
            this->orders.send(decision.load_orders, work, now);
        }
        if (!decision.needs_action()) {
            work.due_signature.clear();
        }
        else if (this->is_my_turn(key, current, decision, work, now)) {
            this->act(key, current, decision, work, now);
        }
        if (is_owner || work.is_committing) {
            this->ended_hosts.check(current.record, now);
        }
        const bool is_unfinished = has_unfinished_replica(current.record);
        if (is_owner && (is_unfinished || !decision.unconfirmed_hosts.empty())) {
            this->request_statuses(key, current.record, decision.unconfirmed_hosts, work, now);
        }
        const bool is_waiting = work.is_committing || !decision.held_replicas.empty();
        return is_unfinished || is_waiting || !work.due_signature.empty();
    }

    /// Whether hosts belong to replicas that are newer than the record, which a daemon that knows a newer one
    /// may still write again.
    bool awaits_newer_record(const domain_key& key, domain_work& work, time_ms now) const
    {
        const auto since = this->view.era_known_since();
        const bool is_outdated =
            since && now - *since < this->settings.newer_record_wait && this->view.is_outdated(key);
        if (std::exchange(work.is_outdated, is_outdated) != is_outdated) {
            log_outdated_record(key, this->view.domain(key), is_outdated);
        }
        return is_outdated;
    }

    void add_formation(const relay_service& service, const domain_key& key, const formation& planned,
                       const domain_view& view, domain_decision& decision)
    {
        const auto models = planned.find(key.domain);
        if (models == planned.end()) {
            return;
        }
        for (const auto& name : models->second) {
            const auto* model = find_model(service, name);
            const bool only_staged = !this->planner.loads_are_cheap();
            if (model != nullptr && form_replica(decision.next, view, *model, key.domain, only_staged)) {
                decision.is_changed = true;
                decision.reasons.push_back(
                    {"form replica " + decision.next.replicas.back().name + " of model " + name});
            }
        }
    }

    /// Warms spare hosts with the models that they are likely to run, if the domain has no other work.
    void add_warming(const relay_service& service, const domain_key& key, const domain_view& view,
                     const domain_work& work, domain_decision& decision, time_ms now)
    {
        const bool is_settled = now - this->view.last_arrival(key) >= this->settings.arrival_quiet_period;
        if (!is_settled || now < work.next_warming_at || has_unfinished_replica(decision.next)) {
            return;
        }
        for (const auto& name :
             add_warming_replicas(decision.next, view, service.engine->models, key.domain)) {
            decision.is_changed = true;
            decision.reasons.push_back({"form warming replica " + name});
        }
    }

    /// When the table can be reached again, changes that could not be committed are due at once.
    void note_table_reach()
    {
        const bool reached_before = std::exchange(this->table_reached, this->reaches_table());
        if (this->table_reached && !reached_before) {
            for (auto& [key, work] : this->work) {
                work.next_commit_at = {};
                work.failed_commits = 0;
            }
        }
    }

    /// Whether this daemon may act now. The owner acts at once; the others follow with a delay by rank, and
    /// all daemons compute the same ranks. A daemon that doesn't reach the table takes nothing over, and
    /// waits anew once it does: the others have waited as long.
    bool is_my_turn(const domain_key& key, const versioned_domain& current, const domain_decision& decision,
                    domain_work& work, time_ms now)
    {
        const auto due = due_signature_of(current.version, decision);
        if (due != work.due_signature) {
            work.due_signature = due;
            work.due_since = now;
        }
        if (current.record.owner == this->self) {
            return true;
        }
        if (!this->table_reached) {
            work.due_since = now;
            return false;
        }
        const auto daemons = this->io.daemons();
        if (std::find(daemons.begin(), daemons.end(), this->self) == daemons.end()) {
            work.due_since = now; // Others control; should they all end, this daemon waits like the others.
            return false;
        }
        const bool is_owner_alive =
            std::find(daemons.begin(), daemons.end(), current.record.owner) != daemons.end();
        auto delay = this->settings.rank_delay * this->rank_of(key);
        if (is_owner_alive) {
            const bool is_new_loss = decision.has_loss && !decision.is_old_loss;
            delay = delay + (is_new_loss       ? this->settings.loss_delay
                             : current.is_lost ? this->settings.absent_owner_delay
                                               : this->settings.takeover_delay);
        }
        else if (!current.record.owner.empty()) {
            delay = delay + this->settings.absent_owner_delay;
        }
        return now - work.due_since >= delay;
    }

    /// This daemon's rank among the daemons other than the owner, in the order of takeover.
    [[nodiscard]] std::int64_t rank_of(const domain_key& key) const
    {
        auto daemons = this->io.daemons();
        std::erase(daemons, this->view.domain(key).record.owner);
        return static_cast<std::int64_t>(shard_rank(key.row_key(), this->self, daemons));
    }

    void act(const domain_key& key, const versioned_domain& current, domain_decision decision,
             domain_work& work, time_ms now)
    {
        if (work.is_committing || now < work.next_commit_at) {
            return;
        }
        if (!decision.is_changed && current.record.owner == this->self) {
            this->orders.send(decision.orders, work, now);
            return;
        }
        if (!decision.is_changed) {
            decision.reasons.push_back({"take over from " + current.record.owner});
        }
        decision.next.owner = this->self;
        ++decision.next.revision;
        decision.next.written_in_era = current.version.era;
        this->commit(key, current.version, std::move(decision), work, now);
    }

    void commit(const domain_key& key, row_version version, domain_decision decision, domain_work& work,
                time_ms now)
    {
        work.is_committing = true;
        for (const auto& reason : decision.reasons) {
            log_placement(key, reason, version, this->view, now);
        }
        this->io.commit(key, decision.next, version, [this, key, now](commit_state state) {
            auto& done = this->work[key];
            done.is_committing = false;
            done.due_signature.clear();
            const bool is_answered = state == commit_state::applied || state == commit_state::conflict;
            done.failed_commits = is_answered ? 0 : done.failed_commits + 1;
            if (state == commit_state::conflict) {
                log_event(event::placement_lost_race, {{"domain", key.row_key()}});
            }
            else if (state != commit_state::applied) {
                // This daemon cannot reach the table; one that can takes over.
                const auto doublings = std::min(done.failed_commits - 1, max_commit_doublings);
                const auto delay = this->settings.commit_retry_delay * (1LL << doublings);
                done.next_commit_at = now + delay;
                log_event(
                    event::placement_unknown,
                    {{"domain", key.row_key()}, {"failures", done.failed_commits}, {"retry_in", delay}});
            }
        });
    }

    void request_statuses(const domain_key& key, const domain_record& record,
                          const std::vector<std::string>& doubts, domain_work& work, time_ms now)
    {
        for (const auto& replica : record.replicas) {
            const auto planned = work.timing.forming_since(replica.name);
            for (const auto& member : replica.hosts) {
                const auto* host = this->view.find_host(member.id);
                // A leader that is no longer listed may still have requests.
                const bool may_send = host != nullptr || replica.phase == replica_phase::retiring;
                if (may_send && needs_status(replica, member.id, doubts) &&
                    work.status_requests.is_due(member.id, planned, this->settings.status_interval, now)) {
                    work.status_requests.on_sent(member.id, now);
                    this->request_status(host != nullptr ? *host : host_of(key, member), replica, now);
                }
            }
        }
    }

    void request_status(const listed_host& host, const replica_entry& replica, time_ms now)
    {
        const domain_key key{host.service, host.fabric_domain};
        const bool shows_requests = ends_requests(replica.phase) && host.id == replica.hosts.front().id;
        this->io.request_status(host, [this, key, now, id = host.id, name = replica.name,
                                       shows_requests](std::optional<host_status> status) {
            if (!status) {
                if (shows_requests && this->view.find_host(id) == nullptr) {
                    this->work[key].timing.on_idle(name); // No longer listed, and stopped.
                }
                return; // Otherwise unanswered orders show whether the host is lost.
            }
            if (this->work[key].status_requests.on_answer(id, now)) {
                clear_if_answering(this->view, id, *status);
                this->view.update_host(id, *status, now);
            }
            this->progress_listener();
            if (shows_requests && status->running == 0 && status->waiting == 0) {
                this->work[key].timing.on_idle(name);
            }
        });
    }

    /// Adds the loads that this domain should start to its record.
    void add_loads(const relay_service& service, const domain_key& key, const domain_view& view,
                   domain_work& work, domain_decision& decision, time_ms now)
    {
        const auto domains = std::max<std::size_t>(1, this->view.domains_of(service.name).size());
        const double loads_per_s =
            this->settings.load_rate_share * service.engine->loads_per_s / static_cast<double>(domains);
        std::size_t started = 0;
        for (const auto& load : this->loads) {
            if (load.domain != key.domain) {
                continue;
            }
            if (!this->planner.loads_are_cheap() && !work.staging.try_start_load(loads_per_s, now)) {
                break;
            }
            decision.next.loads.push_back({load.host, load.model});
            ++started;
        }
        if (started > 0) {
            decision.is_changed = true;
            decision.reasons.push_back({std::to_string(started) + " loads to start"});
        }
        const auto free = free_hosts(view);
        const auto held_models = held_models_text(free);
        if (!free.empty() && std::exchange(work.logged_free_hosts, held_models) != held_models) {
            log_idle_hosts(service.name, free, held_models, started, decision.next.loads.size());
        }
    }

    Io& io;
    fleet_view& view;
    fleet_planner planner;
    ended_host_check<Io> ended_hosts;
    std::string self;
    controller_settings settings;
    std::function<void()> progress_listener = [] {};
    std::function<bool()> do_all_report = [] { return true; };
    std::function<bool()> reaches_table = [] { return true; };
    bool table_reached = true;          ///< At the last tick.
    std::vector<load_assignment> loads; ///< Loads to start now, of the service that `tick` is processing.
    std::set<std::string> held;         ///< Replicas that are held, of the same service.
    std::map<domain_key, domain_work> work;
    order_sender<Io> orders{this->io, this->view, this->work, this->settings,
                            [this] { this->progress_listener(); }};
};

} // namespace coriander
