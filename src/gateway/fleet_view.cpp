#include "gateway/fleet_view.hpp"

#include "runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace coriander {
namespace {

/// The maximum time by which the list lags behind a host's report: writing the list, the store, and the
/// polling interval.
constexpr time_ms max_list_lag = 2000_ms;

/// Whether `later` is a later phase than `earlier` in the same replica and generation. Within a generation
/// phases only advance.
bool has_advanced(const std::optional<replica_part>& earlier, const std::optional<replica_part>& later)
{
    return earlier && later && earlier->replica == later->replica &&
           earlier->generation == later->generation && earlier->phase < later->phase;
}

/// Sets the host's warm model to the replica's model if the host is ready in the replica.
/// Returns whether that changes it.
bool set_warm_model_if_ready(listed_host& host, const replica_entry& replica)
{
    const bool is_ready = has_part(host, replica) && host.part->phase != host_phase::joining;
    if (!is_ready || host.warm_model == replica.model) {
        return false;
    }
    host.warm_model = replica.model;
    return true;
}

/// Sets the rate that the target bears while the host that gets its requests is cold.
void set_cold_limit(relay_target& target, const listed_host& host, const relay_service& service)
{
    if (service.cold_rate > 0.0) {
        target.cold_until = host.cold_until;
        target.cold_rate = service.cold_rate;
    }
}

} // namespace

std::optional<domain_key> parse_domain_key(std::string_view row_key)
{
    const auto slash = row_key.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == row_key.size()) {
        return std::nullopt;
    }
    return domain_key{std::string{row_key.substr(0, slash)}, std::string{row_key.substr(slash + 1)}};
}

listed_host host_of(const domain_key& key, const replica_host& member)
{
    listed_host host;
    host.id = member.id;
    host.address = member.address;
    host.incarnation = member.incarnation;
    host.service = key.service;
    host.fabric_domain = key.domain;
    return host;
}

void fleet_view::set_host(const listed_host& entry_read, time_ms now)
{
    const auto host = this->with_cold_end(entry_read, now);
    this->list_times[host.id] = now;
    this->expire_reports(now);
    this->reindex(this->find_host(host.id), &host);
    auto [entry, is_new] = this->known.try_emplace(host.id, host);
    auto& current = entry->second;
    if (is_new || current.incarnation != host.incarnation) {
        this->arrivals[{host.service, host.fabric_domain}] = now;
        this->silent_hosts.erase(host.id);
        this->fresh_reports.erase(host.id);
        this->report_times.erase(host.id);
        current = host;
        this->apply_statement(current);
        this->update_warm_model(current);
        return;
    }
    auto listed = host;
    // A host that leaves exits; only a restored list shows it as ready again at the same address.
    listed.is_leaving = host.is_leaving || (current.is_leaving && current.address == host.address);
    const auto report = this->fresh_reports.find(host.id);
    const bool is_newer_replica =
        host.part && report != this->fresh_reports.end() && host.part->generation > report->second.generation;
    if (report == this->fresh_reports.end() || is_newer_replica || has_advanced(current.part, listed.part)) {
        this->fresh_reports.erase(host.id);
        this->apply_listed(current, listed);
        return;
    }
    report->second.latest_listed = listed;
    const auto status = std::exchange(current, listed);
    current.is_ordered = status.is_ordered;
    current.staged = status.staged;
    current.part = status.part;
    current.warm_model = status.warm_model;
    current.is_self_reported = true;
    this->apply_statement(current);
}

listed_host fleet_view::with_cold_end(listed_host host, time_ms now) const
{
    const auto* before = this->find_host(host.id);
    const bool is_same_statement =
        before != nullptr && before->incarnation == host.incarnation && before->cold_left == host.cold_left;
    // An entry that is read again says nothing new of the time left.
    host.cold_until = is_same_statement            ? before->cold_until
                      : host.cold_left > time_ms{} ? now + host.cold_left
                                                   : time_ms{};
    return host;
}

void fleet_view::apply_statements()
{
    const auto newest = this->statements == nullptr ? 0 : this->statements->leaving_changes();
    if (std::exchange(this->applied_statements, newest) == newest) {
        return;
    }
    for (auto& [id, host] : this->known) {
        if (this->apply_statement(host)) {
            this->note_change(host);
        }
    }
}

bool fleet_view::apply_statement(listed_host& host) const
{
    const bool applies = this->statements != nullptr && !host.is_leaving &&
                         this->statements->is_leaving(key_of_host(host.id, host.incarnation, host.address));
    host.is_leaving = host.is_leaving || applies;
    return applies;
}

void fleet_view::remove_host(const std::string& id)
{
    if (const auto found = this->known.find(id); found != this->known.end()) {
        this->reindex(&found->second, nullptr);
        this->known.erase(found);
    }
    this->silent_hosts.erase(id);
    this->report_times.erase(id);
    this->fresh_reports.erase(id);
    this->list_times.erase(id);
}

void fleet_view::update_host(const std::string& id, const host_status& status, time_ms requested_at)
{
    const auto found = this->known.find(id);
    const auto last = this->last_report_at(id);
    const bool is_other_incarnation =
        found == this->known.end() || found->second.incarnation != status.incarnation;
    if (is_other_incarnation || (last && requested_at < *last)) {
        return; // After a restart the list provides the complete new state.
    }
    auto& host = found->second;
    this->record_report(host, requested_at);
    host.is_ordered = status.is_ordered;
    host.staged = status.staged;
    if (!has_advanced(status.part, host.part)) { // A report may be older than the known phase.
        host.part = status.part;
    }
    host.is_self_reported = true;
    this->update_warm_model(host);
}

void fleet_view::on_host_left(const std::string& id, const std::string& replica, std::uint64_t generation,
                              time_ms now)
{
    const auto found = this->known.find(id);
    const bool is_member = found != this->known.end() && found->second.part &&
                           found->second.part->replica == replica &&
                           found->second.part->generation == generation;
    if (is_member) {
        this->record_report(found->second, now);
        found->second.part.reset();
        found->second.is_self_reported = true;
    }
}

void fleet_view::record_report(const listed_host& host, time_ms at)
{
    this->note_change(host);
    this->report_times[host.id] = at;
    auto& report = this->fresh_reports[host.id];
    report.latest_listed.reset();
    report.generation = std::max(report.generation, host.part ? host.part->generation : 0);
}

void fleet_view::apply_listed(listed_host& known, const listed_host& listed) const
{
    auto warm_model = std::move(known.warm_model);
    known = listed;
    known.warm_model = std::move(warm_model);
    this->apply_statement(known);
    this->update_warm_model(known);
}

void fleet_view::update_warm_model(listed_host& host) const
{
    for (const auto& replica : this->domain({host.service, host.fabric_domain}).record.replicas) {
        (void)set_warm_model_if_ready(host, replica);
    }
}

void fleet_view::expire_reports(time_ms now)
{
    for (auto& [id, silence] : this->silent_hosts) {
        if (!silence.is_overdue && !silence.may_be_sound(now)) {
            silence.is_overdue = true;
            this->note_silence(id);
        }
    }
    std::erase_if(this->fresh_reports, [&](const auto& item) {
        const auto& [id, report] = item;
        if (now - this->report_times.at(id) < max_list_lag) {
            return false;
        }
        auto& host = this->known.at(id);
        if (report.latest_listed) {
            this->apply_listed(host, *report.latest_listed);
        }
        host.is_self_reported = false;
        this->note_change(host);
        return true;
    });
}

bool fleet_view::set_domain(const domain_key& key, domain_record record, row_version version)
{
    auto& current = this->records[key];
    if (version <= current.version) {
        return false;
    }
    this->note_change(key);
    const bool is_restored = version.era > current.version.era && record.written_in_era < version.era;
    const bool is_lost = is_restored && record.revision < current.record.revision;
    if (is_lost) {
        log_event(event::placement_row_lost, {{"domain", key.row_key()},
                                              {"revision", current.record.revision},
                                              {"table_revision", record.revision},
                                              {"owner", current.record.owner}});
        current.version = version;
        current.is_lost = true;
        return true;
    }
    if (version.era == current.version.era && record.revision < current.record.revision) {
        // A build without revisions has written it; an outdated copy must not seem newer after a restore.
        record.revision = current.record.revision + 1;
    }
    current = {std::move(record), version};
    for (const auto& replica : current.record.replicas) {
        for (const auto& member : replica.hosts) {
            const auto host = this->known.find(member.id);
            if (host != this->known.end() && set_warm_model_if_ready(host->second, replica)) {
                this->note_change(host->second);
            }
        }
    }
    return true;
}

void fleet_view::mark_lost_domains(std::uint64_t era, time_ms now)
{
    if (this->era_since && era == this->table_era) {
        return;
    }
    this->table_era = era;
    this->era_since = now;
    std::vector<domain_key> lost;
    for (const auto& [key, domain] : this->records) {
        if (domain.version.era < era) {
            lost.push_back(key);
        }
    }
    for (const auto& key : lost) {
        this->set_domain(key, {}, {era, 0});
    }
}

bool fleet_view::is_outdated(const domain_key& key) const
{
    const auto last_generation = this->domain(key).record.last_generation;
    const auto hosts = this->hosts_of(key);
    return std::any_of(hosts->begin(), hosts->end(), [&](const listed_host& host) {
        return host.part && host.part->generation > last_generation && !this->is_silent(host.id);
    });
}

void fleet_view::mark_silent(const std::string& id, time_ms since)
{
    const auto* host = this->find_host(id);
    if (host != nullptr && !this->is_silent(id)) {
        this->silent_hosts[id] = {host->incarnation, since};
        this->note_silence(id);
    }
}

void fleet_view::mark_ended(const std::string& id)
{
    if (this->is_silent(id)) {
        this->silent_hosts.at(id).has_ended = true;
        this->note_silence(id);
    }
}

void fleet_view::clear_silent(const std::string& id)
{
    if (this->silent_hosts.erase(id) > 0) {
        this->note_silence(id);
    }
}

bool fleet_view::is_silent(const std::string& id) const
{
    const auto found = this->silent_hosts.find(id);
    const auto* host = this->find_host(id);
    return found != this->silent_hosts.end() && host != nullptr &&
           host->incarnation == found->second.incarnation;
}

const listed_host* fleet_view::find_host(const std::string& id) const
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

std::optional<time_ms> fleet_view::last_report_at(const std::string& id) const
{
    const auto found = this->report_times.find(id);
    return found == this->report_times.end() ? std::nullopt : std::optional{found->second};
}

std::optional<time_ms> fleet_view::last_listed_at(const std::string& id) const
{
    const auto found = this->list_times.find(id);
    return found == this->list_times.end() ? std::nullopt : std::optional{found->second};
}

const versioned_domain& fleet_view::domain(const domain_key& key) const
{
    static const versioned_domain empty;
    const auto found = this->records.find(key);
    return found == this->records.end() ? empty : found->second;
}

std::vector<domain_key> fleet_view::domains_of(const std::string& service) const
{
    std::set<domain_key> keys;
    this->visit_index(service, [&](const domain_key& key, const domain_index& domain) {
        if (!domain.ids.empty() && !key.domain.empty()) {
            keys.insert(key);
        }
    });
    for (const auto& [key, record] : this->records) {
        if (key.service == service) {
            keys.insert(key);
        }
    }
    return {keys.begin(), keys.end()};
}

host_list fleet_view::hosts_of(const domain_key& key) const
{
    static const host_list none = std::make_shared<const std::vector<listed_host>>();
    const auto found = this->index.find(key);
    if (found == this->index.end()) {
        return none;
    }
    auto& domain = found->second;
    if (!domain.hosts) {
        std::vector<listed_host> hosts;
        hosts.reserve(domain.ids.size());
        for (const auto& id : domain.ids) {
            hosts.push_back(this->known.at(id));
        }
        domain.hosts = std::make_shared<const std::vector<listed_host>>(std::move(hosts));
    }
    return domain.hosts;
}

bool fleet_view::is_emptied(const domain_key& key) const
{
    if (this->emptied == nullptr || !this->emptied->has_emptied()) {
        return false;
    }
    const auto hosts = this->hosts_of(key);
    return std::any_of(hosts->begin(), hosts->end(), [&](const listed_host& host) {
        return this->emptied->is_emptied(host.failure_domain);
    });
}

std::size_t fleet_view::host_count(const std::string& service) const
{
    std::size_t count = 0;
    this->visit_index(
        service, [&](const domain_key& /*key*/, const domain_index& domain) { count += domain.ids.size(); });
    return count;
}

std::uint64_t fleet_view::change_count(const domain_key& key) const
{
    const auto found = this->index.find(key);
    return found == this->index.end() ? 0 : found->second.changes;
}

void fleet_view::note_change(const domain_key& key)
{
    auto& domain = this->index[key];
    ++this->changes;
    ++domain.changes;
    domain.hosts.reset();
    domain.serving.reset();
}

void fleet_view::note_silence(const std::string& id)
{
    if (const auto* host = this->find_host(id)) {
        this->note_change(*host);
    }
    else {
        ++this->changes;
    }
}

void fleet_view::reindex(const listed_host* before, const listed_host* after)
{
    if (before != nullptr) {
        this->index[{before->service, before->fabric_domain}].ids.erase(before->id);
        this->note_change(*before);
    }
    if (after != nullptr) {
        this->index[{after->service, after->fabric_domain}].ids.insert(after->id);
        this->note_change(*after);
    }
}

const std::vector<std::size_t>& fleet_view::serving_in(const domain_key& key,
                                                       const domain_record& record) const
{
    auto& domain = this->index[key];
    if (!domain.serving) {
        domain.serving.emplace();
        for (std::size_t i = 0; i < record.replicas.size(); ++i) {
            if (this->may_serve(record.replicas[i])) {
                domain.serving->push_back(i);
            }
        }
    }
    return *domain.serving;
}

time_ms fleet_view::last_arrival(const domain_key& key) const
{
    const auto found = this->arrivals.find(key);
    return found == this->arrivals.end() ? time_ms{} : found->second;
}

bool fleet_view::may_serve(const replica_entry& replica) const
{
    return replica.phase == replica_phase::open &&
           std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const replica_host& member) {
               return this->is_in_place(replica, member) && !this->is_silent(member.id);
           });
}

bool fleet_view::may_go_on(const replica_entry& replica, time_ms now) const
{
    return replica.phase == replica_phase::open &&
           std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const replica_host& member) {
               return this->is_in_place(replica, member) &&
                      (!this->is_silent(member.id) || this->silent_hosts.at(member.id).may_be_sound(now));
           });
}

bool fleet_view::is_in_place(const replica_entry& replica, const replica_host& member) const
{
    const auto* host = this->find_host(member.id);
    return host != nullptr && host->incarnation == member.incarnation && !host->is_leaving &&
           !member.is_lost && !(has_part(*host, replica) && host->part->phase == host_phase::broken);
}

std::set<std::string> fleet_view::held_replicas(const std::string& service, time_ms now) const
{
    std::set<std::string> held;
    if (this->silent_hosts.empty()) {
        return held;
    }
    std::set<std::string> served_models;
    for (const auto& [key, domain] : this->records) {
        if (key.service == service) {
            for (const auto position : this->serving_in(key, domain.record)) {
                served_models.insert(domain.record.replicas[position].model);
            }
        }
    }
    std::set<domain_key> silent_domains; // Only they can have candidates.
    for (const auto& [id, silence] : this->silent_hosts) {
        const auto* host = this->find_host(id);
        if (host != nullptr && host->service == service) {
            silent_domains.insert({host->service, host->fabric_domain});
        }
    }
    std::vector<const replica_entry*> candidates;
    for (const auto& key : silent_domains) {
        for (const auto& replica : this->domain(key).record.replicas) {
            if (!this->may_serve(replica) && this->may_go_on(replica, now)) {
                candidates.push_back(&replica);
            }
        }
    }
    for (const auto* replica : candidates) {
        if (!served_models.contains(replica->model)) {
            held.insert(replica->name);
        }
    }
    return held;
}

std::vector<relay_target> fleet_view::targets_of(const relay_service& service, time_ms now) const
{
    std::vector<relay_target> targets;
    if (!service.engine) {
        this->visit_index(service.name, [&](const domain_key& /*key*/, const domain_index& domain) {
            for (const auto& id : domain.ids) {
                const auto& host = this->known.at(id);
                if (!host.is_leaving && !this->is_silent(id)) {
                    targets.push_back({id,
                                       id,
                                       host.address,
                                       host.failure_domain,
                                       {},
                                       host.incarnation,
                                       host.slots,
                                       1.0,
                                       host.incarnation});
                    set_cold_limit(targets.back(), host, service);
                }
            }
        });
        return targets;
    }
    const auto add = [&](const replica_entry& replica, bool is_held) {
        const auto* leader = this->find_host(replica.hosts.front().id);
        const auto* model = find_model(service, replica.model);
        const double factor = model == nullptr ? 1.0 : model->time_factor;
        targets.push_back({replica.name, leader->id, leader->address, leader->failure_domain, replica.model,
                           replica.generation, service.engine->slots, factor, leader->incarnation, false,
                           is_held});
        set_cold_limit(targets.back(), *leader, service);
        if (this->emptied == nullptr || this->emptied->empty()) {
            return;
        }
        for (const auto& member : replica.hosts) {
            const auto* host = this->find_host(member.id);
            if (host != nullptr && host->failure_domain != leader->failure_domain) {
                targets.back().further_domains.push_back(host->failure_domain);
            }
        }
    };
    const auto held = this->held_replicas(service.name, now);
    for (const auto& [key, domain] : this->records) {
        if (key.service != service.name) {
            continue;
        }
        for (const auto position : this->serving_in(key, domain.record)) {
            add(domain.record.replicas[position], false);
        }
        for (const auto& replica : domain.record.replicas) {
            if (!held.empty() && held.contains(replica.name)) {
                add(replica, true);
            }
        }
    }
    return targets;
}

const replica_entry* fleet_view::find_replica(const std::string& service, const std::string& name) const
{
    for (const auto& [domain, versioned] : this->records) {
        for (const auto& replica : versioned.record.replicas) {
            if (domain.service == service && replica.name == name) {
                return &replica;
            }
        }
    }
    return nullptr;
}

} // namespace coriander
