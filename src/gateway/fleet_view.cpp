#include "gateway/fleet_view.hpp"

#include <algorithm>
#include <utility>

namespace coriander {
namespace {

/// The list may lag behind a host's own word by this: its writing, the store and the pause between readings.
constexpr time_ms list_lag = 2000_ms;

/// Whether `later` is a further state than `earlier` in the same replica. Phases of one generation only
/// advance.
bool has_advanced(const std::optional<replica_part>& earlier, const std::optional<replica_part>& later)
{
    return earlier && later && earlier->replica == later->replica &&
           earlier->generation == later->generation && earlier->phase < later->phase;
}

/// Remembers the replica's model if the host is ready in it.
void note_warmth_in(listed_host& host, const replica_entry& replica)
{
    if (has_part(host, replica) && host.part->phase != host_phase::joining) {
        host.warm_model = replica.model;
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

void fleet_view::set_host(const listed_host& host, time_ms now)
{
    ++this->changes;
    this->listings[host.id] = now;
    this->settle(now);
    auto [entry, is_new] = this->known.try_emplace(host.id, host);
    auto& current = entry->second;
    if (is_new || current.incarnation != host.incarnation) {
        this->arrivals[{host.service, host.fabric_domain}] = now;
        this->silent_hosts.erase(host.id);
        this->fresh_words.erase(host.id);
        this->words.erase(host.id);
        current = host;
        this->note_warmth(current);
        return;
    }
    const auto word = this->fresh_words.find(host.id);
    const bool is_later =
        host.part && word != this->fresh_words.end() && host.part->generation > word->second.generation;
    if (word == this->fresh_words.end() || is_later || has_advanced(current.part, host.part)) {
        this->fresh_words.erase(host.id);
        this->adopt(current, host);
        return;
    }
    word->second.next = host;
    const auto status = std::exchange(current, host);
    current.is_ordered = status.is_ordered;
    current.staged = status.staged;
    current.part = status.part;
    current.warm_model = status.warm_model;
    current.is_self_reported = true;
}

void fleet_view::remove_host(const std::string& id)
{
    this->changes += this->known.erase(id);
    this->silent_hosts.erase(id);
    this->words.erase(id);
    this->fresh_words.erase(id);
    this->listings.erase(id);
}

void fleet_view::update_host(const std::string& id, const host_status& status, time_ms asked)
{
    const auto found = this->known.find(id);
    const auto last = this->told_at(id);
    const bool is_other = found == this->known.end() || found->second.incarnation != status.incarnation;
    if (is_other || (last && asked < *last)) {
        return; // The list will tell of a new start with all that belongs to it.
    }
    auto& host = found->second;
    this->note_word(host, asked);
    host.is_ordered = status.is_ordered;
    host.staged = status.staged;
    if (!has_advanced(status.part, host.part)) { // A report lags behind the host.
        host.part = status.part;
    }
    host.is_self_reported = true;
    this->note_warmth(host);
}

void fleet_view::leave_host(const std::string& id, const std::string& replica, std::uint64_t generation,
                            time_ms now)
{
    const auto found = this->known.find(id);
    const bool is_there = found != this->known.end() && found->second.part &&
                          found->second.part->replica == replica &&
                          found->second.part->generation == generation;
    if (is_there) {
        this->note_word(found->second, now);
        found->second.part.reset();
        found->second.is_self_reported = true;
    }
}

void fleet_view::note_word(const listed_host& host, time_ms at)
{
    ++this->changes;
    this->words[host.id] = at;
    auto& word = this->fresh_words[host.id];
    word.next.reset();
    word.generation = std::max(word.generation, host.part ? host.part->generation : 0);
}

void fleet_view::adopt(listed_host& known, const listed_host& listed) const
{
    auto warm_model = std::move(known.warm_model);
    known = listed;
    known.warm_model = std::move(warm_model);
    this->note_warmth(known);
}

void fleet_view::note_warmth(listed_host& host) const
{
    for (const auto& replica : this->domain({host.service, host.fabric_domain}).record.replicas) {
        note_warmth_in(host, replica);
    }
}

void fleet_view::settle(time_ms now)
{
    std::erase_if(this->fresh_words, [&](const auto& item) {
        const auto& [id, word] = item;
        if (now - this->words.at(id) < list_lag) {
            return false;
        }
        auto& host = this->known.at(id);
        if (word.next) {
            this->adopt(host, *word.next);
            ++this->changes;
        }
        host.is_self_reported = false;
        return true;
    });
}

bool fleet_view::set_domain(const domain_key& key, domain_record record, std::uint64_t version)
{
    auto& current = this->records[key];
    if (version <= current.version) {
        return false;
    }
    ++this->changes;
    current = {std::move(record), version};
    for (const auto& replica : current.record.replicas) {
        for (const auto& member : replica.hosts) {
            const auto host = this->known.find(member.id);
            if (host != this->known.end()) {
                note_warmth_in(host->second, replica);
            }
        }
    }
    return true;
}

void fleet_view::mark_silent(const std::string& id)
{
    const auto* host = this->find_host(id);
    if (host != nullptr) {
        this->silent_hosts[id] = host->incarnation;
        ++this->changes;
    }
}

void fleet_view::clear_silent(const std::string& id)
{
    this->changes += this->silent_hosts.erase(id);
}

bool fleet_view::is_silent(const std::string& id) const
{
    const auto found = this->silent_hosts.find(id);
    const auto* host = this->find_host(id);
    return found != this->silent_hosts.end() && host != nullptr && host->incarnation == found->second;
}

const listed_host* fleet_view::find_host(const std::string& id) const
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

std::optional<time_ms> fleet_view::told_at(const std::string& id) const
{
    const auto found = this->words.find(id);
    return found == this->words.end() ? std::nullopt : std::optional{found->second};
}

std::optional<time_ms> fleet_view::listed_at(const std::string& id) const
{
    const auto found = this->listings.find(id);
    return found == this->listings.end() ? std::nullopt : std::optional{found->second};
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
    for (const auto& [id, host] : this->known) {
        if (host.service == service && !host.fabric_domain.empty()) {
            keys.insert({service, host.fabric_domain});
        }
    }
    for (const auto& [key, record] : this->records) {
        if (key.service == service) {
            keys.insert(key);
        }
    }
    return {keys.begin(), keys.end()};
}

std::vector<listed_host> fleet_view::hosts_of(const domain_key& key) const
{
    std::vector<listed_host> found;
    for (const auto& [id, host] : this->known) {
        if (host.service == key.service && host.fabric_domain == key.domain) {
            found.push_back(host);
        }
    }
    return found;
}

std::size_t fleet_view::host_count(const std::string& service) const
{
    return static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(),
                      [&](const auto& item) { return item.second.service == service; }));
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
               const auto* host = this->find_host(member.id);
               return host != nullptr && host->incarnation == member.incarnation && !host->is_leaving &&
                      !member.is_lost && !this->is_silent(member.id) &&
                      !(has_part(*host, replica) && host->part->phase == host_phase::broken);
           });
}

std::vector<relay_target> fleet_view::targets_of(const relay_service& service) const
{
    std::vector<relay_target> targets;
    if (!service.engine) {
        for (const auto& [id, host] : this->known) {
            if (host.service == service.name && !host.is_leaving && !this->is_silent(id)) {
                targets.push_back(
                    {id, id, host.address, host.failure_domain, {}, host.incarnation, host.slots, 1.0});
            }
        }
        return targets;
    }
    for (const auto& [key, domain] : this->records) {
        for (const auto& replica : domain.record.replicas) {
            if (key.service != service.name || !this->may_serve(replica)) {
                continue;
            }
            const auto* leader = this->find_host(replica.hosts.front().id);
            const auto* model = find_model(service, replica.model);
            const double factor = model == nullptr ? 1.0 : model->time_factor;
            targets.push_back({replica.name, leader->id, leader->address, leader->failure_domain,
                               replica.model, replica.generation, service.engine->slots, factor});
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
