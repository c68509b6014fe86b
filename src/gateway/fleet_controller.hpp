#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/formation_plan.hpp"
#include "coriander/replicas/replica_demand.hpp"
#include "coriander/shard_choice.hpp"
#include "coriander/table_store.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/fleet_view.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// How a host answered an order.
enum class order_answer {
    accepted,   ///< It has begun, or the state already holds.
    unfitting,  ///< It does not fit the host's state now.
    outdated,   ///< The host has seen a higher generation.
    refused,    ///< The host knows no such order, or is another one.
    unanswered, ///< It may be carried out, also later.
};

/// The outside of a controller: the table, hosts, and other daemons. All callbacks come on the loop's
/// thread, never from within the call. `ask_now` asks over a new connection and waits no longer than told.
template <typename T>
concept controller_io = requires(T& io, const domain_key& key, const domain_record& record,
                                 std::uint64_t version, const listed_host& host, const host_order& order)
{
    io.commit(key, record, version, std::function<void(commit_state)>{});
    io.order(host, order, std::function<void(order_answer)>{});
    io.ask(host, std::function<void(std::optional<host_status>)>{});
    io.ask_now(host, time_ms{}, std::function<void(std::optional<host_status>)>{});
    {
        io.daemons()
        } -> std::convertible_to<std::vector<std::string>>;
};

/// Times and limits of control.
struct controller_settings {
    /// Another daemon steps in when the owner of a domain leaves work undone for so long. Longer
    /// than the host list may lag: what it tells may be done already.
    time_ms takeover_delay{2500};
    /// The same for noting that a replica has lost a host, which needs no order.
    time_ms loss_delay{120};
    /// The same for an owner that is not known to live or to reach the table: word of its return may be on
    /// the way, and two that take each other's place in turn get nothing done.
    time_ms absent_owner_delay{500};
    /// Between two daemons that may step in.
    time_ms rank_delay{250};
    /// How often hosts of replicas that are being formed or dissolved are asked.
    time_ms ask_interval{100};
    /// An order whose effect doesn't show is sent again.
    time_ms order_repeat{600};
    /// After a change that was not committed.
    time_ms commit_pause{1000};
    /// Staging takes as long as a load.
    time_ms stage_repeat{20000};
    /// A replica that is not formed after its load time and this is given up.
    time_ms forming_margin{4000};
    /// A retiring replica's requests have at most this time; its leaving host waits about as long.
    time_ms retiring_limit{9000};
    /// After a host appeared, others may follow: no replica is planned before.
    time_ms arrival_pause{1500};
    /// Hosts that an order didn't reach so many times are taken as gone.
    unsigned silent_after = 2;
    /// Part of the weight store's rate that daemons use together: they don't count each other's loads.
    double load_rate_share = 0.8;
};

/// Forms, follows and mends the replicas of engine services. Every daemon runs one; a domain's record names
/// the one that acts, and another steps in when it doesn't. What must hold rests on the record's version:
/// each change is committed under the condition that nobody else made one. Used on the loop's thread only.
template <controller_io Io>
class fleet_controller {
public:
    fleet_controller(Io& io, fleet_view& view, std::string self, controller_settings settings = {})
        : io{io}, view{view}, self{std::move(self)}, settings{settings}
    {
    }

    /// Whether weights load quickly and without limit, as before the first request.
    void set_cheap_loads(bool are_cheap) { this->loads_are_cheap = are_cheap; }

    /// Replicas that each model of a service needs, by the load.
    void set_needed(const std::string& service, const std::map<std::string, double>& replicas)
    {
        this->needed[service] = replicas;
    }

    /// Does what is due in all domains of the service. Returns when to call again at the latest.
    time_ms tick(const relay_service& service, time_ms now)
    {
        bool is_busy = false;
        const auto formation = this->plan(service, now);
        for (const auto& key : this->view.domains_of(service.name)) {
            is_busy = this->tick_domain(service, key, formation, now) || is_busy;
        }
        return is_busy ? this->settings.ask_interval : idle_interval;
    }

private:
    static constexpr time_ms idle_interval{500};

    struct sent_order {
        order_kind kind = order_kind::join;
        std::uint64_t generation = 0;
        std::string model;
        time_ms at;
        unsigned unanswered = 0;
        bool was_unfitting = false;
        bool is_in_flight = false;
    };
    struct staging_order {
        std::string model;
        time_ms since;
    };
    struct domain_work {
        bool is_committing = false;
        time_ms commit_again_at;
        std::string due; ///< What was due when it was last looked at.
        time_ms due_since;
        std::map<std::string, sent_order> orders;     ///< The last one to each host.
        std::map<std::string, staging_order> staging; ///< Models that hosts are loading.
        std::map<std::string, time_ms> asked;
        std::map<std::string, time_ms> told;        ///< When the question that a host answered last was sent.
        std::map<std::string, time_ms> phase_since; ///< Of forming and retiring replicas, with the phase.
        std::set<std::string> finished;
        std::string free_state; ///< As it was logged last.
        double load_tokens = 0.0;
        time_ms tokens_at;
    };

    domain_view view_of(const domain_record& record, const std::vector<listed_host>& hosts,
                        const domain_work& work) const
    {
        return {&record, hosts, &this->view.silent(), &work.finished};
    }

    /// Which models to form in each domain, were all domains this daemon's.
    formation plan(const relay_service& service, time_ms now)
    {
        const auto input = this->formation_of(service, now);
        return plan_formation(input);
    }

    formation_input formation_of(const relay_service& service, time_ms now)
    {
        this->existing.clear();
        formation_input input;
        input.models = service.engine->models;
        auto& wanted = this->needed[service.name];
        if (wanted.empty()) {
            wanted = needed_replicas(*service.engine, {});
        }
        input.needed = &wanted;
        input.only_staged = !this->loads_are_cheap;
        for (const auto& key : this->view.domains_of(service.name)) {
            const auto& record = this->view.domain(key).record;
            for (const auto& replica : record.replicas) {
                const bool counts =
                    replica.phase == replica_phase::forming || replica.phase == replica_phase::open;
                this->existing[replica.model] += counts ? 1 : 0;
            }
            const bool is_settled =
                !this->loads_are_cheap || now - this->view.last_arrival(key) >= this->settings.arrival_pause;
            if (is_settled) {
                input.domains.push_back(this->supply_of(key, record));
            }
        }
        input.existing = &this->existing;
        return input;
    }

    domain_supply supply_of(const domain_key& key, const domain_record& record)
    {
        const auto hosts = this->view.hosts_of(key);
        domain_supply supply{key.domain, 0, {}};
        for (const auto* host : free_hosts(this->view_of(record, hosts, this->work[key]))) {
            ++supply.free;
            for (const auto& model : host->staged) {
                ++supply.staged[model];
            }
        }
        return supply;
    }

    /// Returns whether something goes on in the domain.
    bool tick_domain(const relay_service& service, const domain_key& key, const formation& planned,
                     time_ms now)
    {
        auto& work = this->work[key];
        const auto& current = this->view.domain(key);
        const auto hosts = this->view.hosts_of(key);
        this->note_finished(service, current.record, work, now);
        const auto view = this->view_of(current.record, hosts, work);
        auto decision = follow_domain(view);
        if (!decision.is_changed) {
            this->add_formation(service, key, planned, view, decision);
        }
        const bool is_owner = current.record.owner == this->self;
        if (!decision.is_due()) {
            work.due.clear();
            if (is_owner || (current.record.owner.empty() && this->rank_of(key) == 0)) {
                this->stage_free_hosts(service, view, work, now);
            }
        }
        else if (this->is_my_turn(key, current, decision, work, now)) {
            this->act(key, current, decision, work, now);
        }
        const bool goes_on = this->has_unsettled(current.record);
        if (is_owner && (goes_on || !decision.doubts.empty())) {
            this->ask_hosts(current.record, decision.doubts, work, now);
        }
        return goes_on || !work.due.empty() || work.is_committing;
    }

    void add_formation(const relay_service& service, const domain_key& key, const formation& planned,
                       const domain_view& view, domain_decision& decision)
    {
        const auto models = planned.find(key.domain);
        if (models == planned.end()) {
            return;
        }
        for (const auto& name : models->second) {
            const auto& all = service.engine->models;
            const auto model = std::find_if(all.begin(), all.end(),
                                            [&](const model_profile& one) { return one.name == name; });
            const bool only_staged = !this->loads_are_cheap;
            if (model != all.end() && form_replica(decision.next, view, *model, key.domain, only_staged)) {
                decision.is_changed = true;
                decision.reasons.push_back("form " + decision.next.replicas.back().name + " of " + name);
            }
        }
    }

    /// The daemon's place among those that may act: the owner first, then an order that all agree on.
    bool is_my_turn(const domain_key& key, const versioned_domain& current, const domain_decision& decision,
                    domain_work& work, time_ms now)
    {
        auto due = std::to_string(current.version);
        for (const auto& reason : decision.reasons) {
            due += "|" + reason;
        }
        for (const auto& order : decision.orders) {
            due += "|" + std::string{name_of(order.kind)} + order.host + std::to_string(order.generation);
        }
        if (due != work.due) {
            work.due = due;
            work.due_since = now;
        }
        if (current.record.owner == this->self) {
            return true;
        }
        const auto daemons = this->io.daemons();
        const bool owner_lives =
            std::find(daemons.begin(), daemons.end(), current.record.owner) != daemons.end();
        auto delay = this->settings.rank_delay * this->rank_of(key);
        if (owner_lives) {
            delay = delay + (decision.has_loss ? this->settings.loss_delay : this->settings.takeover_delay);
        }
        else if (!current.record.owner.empty()) {
            delay = delay + this->settings.absent_owner_delay;
        }
        return now - work.due_since >= delay;
    }

    /// This daemon's place in the order in which others than the owner step in.
    [[nodiscard]] std::int64_t rank_of(const domain_key& key) const
    {
        auto daemons = this->io.daemons();
        std::erase(daemons, this->view.domain(key).record.owner);
        return static_cast<std::int64_t>(shard_rank(key.row_key(), this->self, daemons));
    }

    void act(const domain_key& key, const versioned_domain& current, domain_decision decision,
             domain_work& work, time_ms now)
    {
        if (work.is_committing || now < work.commit_again_at) {
            return;
        }
        if (!decision.is_changed && current.record.owner == this->self) {
            this->send_orders(decision.orders, work, now);
            return;
        }
        if (!decision.is_changed) {
            decision.reasons.push_back("take over from " + current.record.owner);
        }
        decision.next.owner = this->self;
        this->commit(key, current.version, std::move(decision), work, now);
    }

    void commit(const domain_key& key, std::uint64_t version, domain_decision decision, domain_work& work,
                time_ms now)
    {
        work.is_committing = true;
        for (const auto& reason : decision.reasons) {
            log_event(event::placement_decided, {{"domain", key.row_key()},
                                                 {"decision", reason},
                                                 {"row_version", version},
                                                 {"hosts", this->view.hosts_of(key).size()},
                                                 {"silent", this->view.silent().size()}});
        }
        this->io.commit(key, decision.next, version, [this, key, now](commit_state state) {
            auto& done = this->work[key];
            done.is_committing = false;
            done.due.clear();
            if (state == commit_state::conflict) {
                log_event(event::placement_lost_race, {{"domain", key.row_key()}});
            }
            else if (state != commit_state::applied) {
                log_event(event::placement_unknown, {{"domain", key.row_key()}});
                // The table is away from here; another daemon that reaches it steps in.
                done.commit_again_at = now + this->settings.commit_pause;
            }
        });
    }

    void send_orders(const std::vector<host_order>& orders, domain_work& work, time_ms now)
    {
        for (const auto& order : orders) {
            const auto* host = this->view.find_host(order.host);
            auto& last = work.orders[order.host];
            const bool is_same =
                last.kind == order.kind && last.generation == order.generation && last.model == order.model;
            const auto pause = this->pause_before_repeat(last);
            if (host == nullptr || last.is_in_flight || (is_same && now - last.at < pause)) {
                continue;
            }
            if (order.kind == order_kind::join && !this->has_told(work, order)) {
                continue; // The list may be older than an order of another daemon.
            }
            const auto unanswered = is_same ? last.unanswered : 0U;
            last = {order.kind, order.generation, order.model, now, unanswered, false, true};
            this->send_order(*host, order);
        }
    }

    /// Whether the host itself has told its state since its replica was planned.
    static bool has_told(const domain_work& work, const host_order& order)
    {
        const auto planned = work.phase_since.find(order.replica + "/" + name_of(replica_phase::forming));
        const auto told = work.told.find(order.host);
        return planned != work.phase_since.end() && told != work.told.end() &&
               told->second >= planned->second;
    }

    [[nodiscard]] time_ms pause_before_repeat(const sent_order& last) const
    {
        if (last.kind == order_kind::stage) {
            return this->settings.stage_repeat;
        }
        // An order that came too early is tried again at once.
        return last.was_unfitting ? this->settings.ask_interval : this->settings.order_repeat;
    }

    void send_order(const listed_host& host, const host_order& order)
    {
        const domain_key key{host.service, host.fabric_domain};
        this->io.order(host, order, [this, key, order](order_answer answer) {
            auto& last = this->work[key].orders[order.host];
            last.is_in_flight = false;
            this->on_order_answer(order, answer, last);
        });
    }

    void on_order_answer(const host_order& order, order_answer answer, sent_order& last)
    {
        constexpr std::array answers{"accepted", "unfitting", "outdated", "refused", "unanswered"};
        const bool is_accepted = answer == order_answer::accepted;
        log_event(is_accepted ? event::order_sent : event::order_failed,
                  {{"order", name_of(order.kind)},
                   {"host", order.host},
                   {"replica", order.replica},
                   {"generation", order.generation},
                   {"model", order.model},
                   {"answer", answers[static_cast<std::size_t>(answer)]}});
        last.was_unfitting = answer == order_answer::unfitting;
        last.unanswered = answer == order_answer::unanswered ? last.unanswered + 1 : 0;
        if (last.unanswered >= this->settings.silent_after) {
            this->view.mark_silent(order.host, last.at);
        }
    }

    /// Notes which forming replicas took too long and which retiring ones have had their time.
    void note_finished(const relay_service& service, const domain_record& record, domain_work& work,
                       time_ms now)
    {
        std::set<std::string> seen;
        for (const auto& replica : record.replicas) {
            if (replica.phase != replica_phase::forming && replica.phase != replica_phase::retiring) {
                continue;
            }
            const auto id = replica.name + "/" + name_of(replica.phase);
            seen.insert(id);
            const auto since = work.phase_since.try_emplace(id, now).first->second;
            const auto limit = replica.phase == replica_phase::retiring
                                   ? this->settings.retiring_limit
                                   : this->forming_limit(service, replica.model);
            if (now - since > limit) {
                work.finished.insert(replica.name);
            }
        }
        std::erase_if(work.phase_since, [&](const auto& item) { return !seen.contains(item.first); });
        std::erase_if(work.finished, [&](const std::string& name) {
            return std::none_of(record.replicas.begin(), record.replicas.end(),
                                [&](const replica_entry& one) { return one.name == name; });
        });
    }

    time_ms forming_limit(const relay_service& service, const std::string& model) const
    {
        for (const auto& one : service.engine->models) {
            if (one.name == model) {
                const auto load = this->loads_are_cheap ? one.load_time : one.staged_load_time;
                return load + service.engine->forming_time + this->settings.forming_margin;
            }
        }
        return this->settings.forming_margin;
    }

    static bool has_unsettled(const domain_record& record)
    {
        return std::any_of(record.replicas.begin(), record.replicas.end(),
                           [](const replica_entry& one) { return one.phase != replica_phase::open; });
    }

    /// Whether the host's own word is needed on its replica now.
    static bool is_asked(const replica_entry& replica, const std::string& host,
                         const std::vector<std::string>& doubts)
    {
        switch (replica.phase) {
        case replica_phase::open:
            return std::find(doubts.begin(), doubts.end(), host) != doubts.end();
        case replica_phase::retiring:
            return host == replica.hosts.front().id; // The leader tells whether work is left.
        default:
            return true;
        }
    }

    void ask_hosts(const domain_record& record, const std::vector<std::string>& doubts, domain_work& work,
                   time_ms now)
    {
        for (const auto& replica : record.replicas) {
            for (const auto& member : replica.hosts) {
                const auto* host = this->view.find_host(member.id);
                auto& asked = work.asked[member.id];
                const bool is_wanted = is_asked(replica, member.id, doubts);
                if (host != nullptr && is_wanted && now - asked >= this->settings.ask_interval) {
                    asked = now;
                    this->ask(*host, replica, now);
                }
            }
        }
    }

    void ask(const listed_host& host, const replica_entry& replica, time_ms now)
    {
        const domain_key key{host.service, host.fabric_domain};
        const bool is_retiring = replica.phase == replica_phase::retiring;
        this->io.ask(host, [this, key, now, id = host.id, name = replica.name,
                            is_retiring](std::optional<host_status> status) {
            if (!status) {
                return; // Orders find out whether the host is gone.
            }
            this->work[key].told[id] = now;
            this->view.update_host(id, *status, now);
            if (is_retiring && status->running == 0 && status->waiting == 0) {
                this->work[key].finished.insert(name);
            }
        });
    }

    /// Has free hosts load the model that they will most likely be asked for.
    void stage_free_hosts(const relay_service& service, const domain_view& view, domain_work& work,
                          time_ms now)
    {
        const auto free = free_hosts(view);
        if (free.empty()) {
            return;
        }
        std::map<std::string, std::size_t> counts;
        for (const auto& replica : view.record->replicas) {
            ++counts[replica.model];
        }
        const auto input = this->formation_of(service, now);
        std::vector<spare_host> spares;
        spares.reserve(free.size());
        for (const auto* host : free) {
            spares.push_back({host->id, this->held_model(*host, work, now)});
        }
        const auto plan = plan_staging(input, spares, counts);
        this->log_free_hosts(service.name, view, free, plan.size(), work);
        this->refill_load_tokens(service, work, now);
        for (const auto& [id, model] : plan) {
            if (!this->loads_are_cheap && work.load_tokens < 1.0) {
                return;
            }
            const auto before = work.staging[id].since;
            work.staging[id] = {model, now};
            this->send_orders({{order_kind::stage, id, {}, 0, model, {}}}, work, now);
            work.load_tokens -= before != now ? 1.0 : 0.0;
        }
    }

    /// The model that the host holds, or was ordered to load and has had no time for yet.
    std::string held_model(const listed_host& host, domain_work& work, time_ms now) const
    {
        const auto order = work.staging.find(host.id);
        if (order != work.staging.end()) {
            const bool is_loading = now - order->second.since < this->settings.stage_repeat;
            const auto& model = order->second.model;
            const bool is_held =
                std::find(host.staged.begin(), host.staged.end(), model) != host.staged.end();
            if (is_loading && !is_held) {
                return model;
            }
            work.staging.erase(order);
        }
        return host.staged.empty() ? std::string{} : host.staged.back();
    }

    /// Logs how many hosts serve nothing and what they hold, whenever that changes.
    void log_free_hosts(const std::string& service, const domain_view& view,
                        const std::vector<const listed_host*>& free, std::size_t to_load, domain_work& work)
    {
        std::map<std::string, std::size_t> staged;
        for (const auto* host : free) {
            ++staged[host->staged.empty() ? "nothing" : host->staged.front()];
        }
        std::string held;
        for (const auto& [model, count] : staged) {
            held += (held.empty() ? "" : ",") + model + ":" + std::to_string(count);
        }
        if (std::exchange(work.free_state, held) != held) {
            log_event(event::hosts_idle, {{"service", service},
                                          {"domain", free.front()->fabric_domain},
                                          {"free", free.size()},
                                          {"holding", held},
                                          {"loading", work.staging.size()},
                                          {"to_load", to_load},
                                          {"replicas", view.record->replicas.size()}});
        }
    }

    /// Each domain has an even part of the weight store's rate, so that owners need not agree.
    void refill_load_tokens(const relay_service& service, domain_work& work, time_ms now)
    {
        const auto domains = std::max<std::size_t>(1, this->view.domains_of(service.name).size());
        const double rate =
            this->settings.load_rate_share * service.engine->loads_per_s / static_cast<double>(domains);
        constexpr double most_saved = 2.0;
        if (work.tokens_at == time_ms{}) {
            work.load_tokens = 1.0;
        }
        else {
            work.load_tokens =
                std::min(most_saved, work.load_tokens + rate * (now - work.tokens_at).seconds());
        }
        work.tokens_at = now;
    }

    Io& io;
    fleet_view& view;
    std::string self;
    controller_settings settings;
    bool loads_are_cheap = false;
    std::map<std::string, std::map<std::string, double>> needed;
    std::map<std::string, std::size_t> existing;
    std::map<domain_key, domain_work> work;
};

} // namespace coriander
