#include "gateway/gateway_peers.hpp"

#include "coriander/digest.hpp"
#include "coriander/shard_choice.hpp"
#include "gateway/peer_round.hpp"
#include "gateway/should_send_manifest.hpp"
#include "peer/packed_message.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <array>

namespace coriander {
namespace {

/// Three missed rounds plus some delay; a killed gateway is dropped from the directory after this time.
constexpr time_ms alive_window = 1600_ms;

membership_settings gateway_membership_settings()
{
    membership_settings settings;
    settings.alive_window = alive_window;
    settings.near_targets = near_peers_per_round;
    return settings;
}

/// Whether it is a gateway that takes callers' requests and isn't stopping.
bool takes_callers(const member_identity& identity, const member_heartbeat& heartbeat)
{
    return !heartbeat.stopping && !identity.http_address.empty();
}

} // namespace

gateway_peers::gateway_peers(asio::io_context& loop, const member_identity& self, std::uint16_t port,
                             std::vector<std::string> seeds, manifest_handler manifest, news_handler news)
    : seeds{std::move(seeds)}, manifest{std::move(manifest)}, news{std::move(news)},
      members{self, gateway_membership_settings()}, random{std::random_device{}()},
      link{loop, self.peer_address.substr(0, self.peer_address.rfind(':')), port,
           [this](const peer_message& message) { this->receive(message); }}
{
}

void gateway_peers::introduce(const member_identity& identity)
{
    if (identity.name != this->members.self().name) {
        this->note_build(identity);
        this->members.add_identity(identity, this->clock.now());
    }
}

void gateway_peers::note_build(const member_identity& reported)
{
    if (const auto change = this->builds.note(reported)) {
        log_event(event::peer_build, {{"peer", change->gateway.name},
                                      {"build", shown_build(change->gateway.build)},
                                      {"features", names_of(change->gateway.features)},
                                      {"build_before", change->build_before},
                                      {"own_build", this->members.self().build}});
    }
}

/// A daemon that has just started knows of no crashes, and must not send requests that caused some.
void gateway_peers::send_known_crashes(const member_identity& sender)
{
    if (std::exchange(this->informed_peers[sender.name], sender.incarnation) == sender.incarnation) {
        return;
    }
    peer_message message;
    message.crashes = this->known_crashes();
    if (!message.crashes.empty()) {
        this->link.send(sender.peer_address, message);
    }
}

void gateway_peers::receive(const peer_message& message)
{
    const auto now = this->clock.now();
    if (!message.identities.empty()) {
        this->send_known_crashes(message.identities.front());
        this->introduce(message.identities.front());
    }
    for (const auto& identity : message.identities) {
        this->members.add_identity(identity, now);
    }
    if (message.relay_key && !message.identities.empty()) {
        const auto& sender = message.identities.front();
        this->peer_keys.on_key(sender.name, sender.incarnation, *message.relay_key);
    }
    std::uint64_t newest_version = 0;
    for (const auto& beat : message.beats) {
        this->members.merge_heartbeat(beat, now);
        newest_version = std::max(newest_version, beat.config_number);
    }
    this->versions(newest_version);
    if (message.config) {
        this->manifest(message.config->number, message.config->toml);
    }
    if (message.news) {
        this->news(*message.news);
    }
    if (!message.lost_hosts.empty()) {
        this->losses(message.lost_hosts);
    }
    for (const auto& report : message.kept) {
        this->kept(report);
    }
    this->crashes(message.crashes);
    const bool has_permits = !message.permits.empty();
    if (has_permits && !message.identities.empty()) {
        this->permits(message.identities.front().peer_address, message.permits);
    }
    if (!message.beats.empty()) {
        this->loads(message.beats.front().id, message.loads);
    }
}

void gateway_peers::send_round(std::uint64_t manifest_version, const std::string& manifest_text,
                               const daemon_state& state, load_update load_reports,
                               crash_update crash_reports)
{
    const auto now = this->clock.now();
    if (std::exchange(this->manifest_version, manifest_version) != manifest_version) {
        this->manifest_received_at = now;
    }
    this->members.advance_heartbeat(manifest_version, state.is_stopping, state.reaches_table,
                                    state.is_cut_off);
    peer_message message;
    message.identities = this->members.identities_to_send();
    message.beats = this->members.heartbeats_to_send(now);
    message.relay_key = this->relay_key;
    message.loads = std::move(load_reports);
    message.loads.targets.resize(std::min(message.loads.targets.size(), loads_per_message));
    auto& limits = message.loads.limits;
    if (limits.size() > limits_per_message) {
        this->limit_cursor = (this->limit_cursor + limits_per_message) % limits.size();
        std::rotate(limits.begin(), limits.begin() + static_cast<std::ptrdiff_t>(this->limit_cursor),
                    limits.end());
        limits.resize(limits_per_message);
    }
    message.crashes = std::move(crash_reports);
    const auto count = this->count() > large_fleet ? peers_per_round_in_large_fleet : peers_per_round;
    const auto targets = this->members.choose_targets(count, now, this->random);
    const auto others = this->lacks_manifest(manifest_version, now) && !manifest_text.empty()
                            ? this->members.alive(now)
                            : std::vector<member_view>{};
    for (const auto& view : others) {
        if (view.heartbeat.config_number < manifest_version &&
            should_send_manifest(this->members.self().name, state.reaches_table, view, others,
                                 now - this->manifest_received_at) &&
            this->sent.mark_sent_if_due(view.identity.name, manifest_version, now)) {
            log_event(event::config_told,
                      {{"peer", view.identity.name},
                       {"version", manifest_version},
                       {"peer_version", view.heartbeat.config_number},
                       {"bytes", manifest_text.size()},
                       {"peer_reaches_table", view.heartbeat.table_reachable ? "yes" : "no"}});
            auto with_manifest = message;
            with_manifest.config = config_record{};
            with_manifest.config->number = manifest_version;
            with_manifest.config->toml = manifest_text;
            this->send_large({&view.identity, 1}, with_manifest);
        }
    }
    std::vector<std::string> addresses;
    addresses.reserve(targets.size());
    for (const auto& target : targets) {
        addresses.push_back(target.peer_address);
    }
    this->link.send_all(targets.empty() ? this->seeds : std::move(addresses), message);
}

void gateway_peers::send_losses(std::span<const lost_host> hosts, std::span<const std::string> names)
{
    peer_message message;
    message.lost_hosts.assign(hosts.begin(), hosts.end());
    this->send_to(names, message);
}

void gateway_peers::send_kept(const kept_requests& report, const std::string& name)
{
    peer_message message;
    message.kept.push_back(report);
    this->send_to({&name, 1}, message);
}

void gateway_peers::send_to(std::span<const std::string> names, const peer_message& message)
{
    std::vector<std::string> addresses;
    this->members.visit_alive(this->clock.now(),
                              [&](const member_identity& identity, const member_heartbeat& /*heartbeat*/) {
                                  if (std::find(names.begin(), names.end(), identity.name) != names.end()) {
                                      addresses.push_back(identity.peer_address);
                                  }
                              });
    this->link.send_all(std::move(addresses), message);
}

void gateway_peers::send_permits(const std::string& address, const permit_message& permits)
{
    peer_message message;
    message.identities = {this->members.self()};
    message.permits = permits;
    this->link.send(address, message);
}

std::optional<std::string> gateway_peers::permit_issuer_of(std::uint64_t target) const
{
    const auto others = this->serving();
    std::vector<std::string> names;
    names.reserve(others.size() + 1);
    if (!this->members.own_heartbeat().stopping) {
        names.push_back(this->members.self().name);
    }
    for (const auto& other : others) {
        names.push_back(other.name);
    }
    const auto first = top_members(std::to_string(target), std::move(names), 1);
    const auto issuer = std::find_if(others.begin(), others.end(), [&](const member_identity& other) {
        return !first.empty() && other.name == first.front();
    });
    return issuer == others.end() ? std::nullopt : std::optional{issuer->peer_address};
}

bool gateway_peers::is_in_own_group(const std::string& name, const std::string& failure_domain) const
{
    const auto& self = this->members.self();
    const auto& list = this->current_controllers();
    if (list.daemons <= reader_group_size) {
        return true;
    }
    const auto parts = (list.nearby_daemons + reader_group_size - 1) / reader_group_size;
    return failure_domain == self.failure_domain &&
           (parts <= 1 || member_id(name) % parts == member_id(self.name) % parts);
}

bool gateway_peers::is_reader(std::string_view table) const
{
    auto& list = this->current_controllers();
    const auto known = list.is_reader.find(table);
    if (known != list.is_reader.end()) {
        return known->second;
    }
    const bool is_reader = this->find_is_reader(table);
    list.is_reader.emplace(table, is_reader);
    return is_reader;
}

bool gateway_peers::find_is_reader(std::string_view table) const
{
    const auto& own = this->members.self().name;
    const auto& list = this->current_controllers();
    auto group = list.daemons <= reader_group_size ? list.names : list.nearby;
    const auto& failure_domain = this->members.self().failure_domain;
    std::erase_if(group,
                  [&](const std::string& name) { return !this->is_in_own_group(name, failure_domain); });
    const bool is_member = std::find(group.begin(), group.end(), own) != group.end();
    return is_member && shard_rank(std::string{table}, own, group) == 0;
}

void gateway_peers::publish(const table_delta& read)
{
    peer_message message;
    message.news = read;
    std::vector<member_identity> recipients;
    this->members.visit_alive(this->clock.now(),
                              [&](const member_identity& identity, const member_heartbeat& heartbeat) {
                                  if (this->is_in_own_group(identity.name, identity.failure_domain)) {
                                      recipients.push_back(identity);
                                      if (identity.incarnation != heartbeat.incarnation) {
                                          recipients.back().features = {}; // Of an earlier process.
                                      }
                                  }
                              });
    this->send_large(recipients, message);
}

void gateway_peers::send_large(std::span<const member_identity> recipients, const peer_message& message)
{
    std::vector<std::string> addresses;
    std::vector<std::string> addresses_unpacked;
    for (const auto& recipient : recipients) {
        const bool unpacks = recipient.features.contains(peer_feature::packed_messages);
        (unpacks ? addresses : addresses_unpacked).push_back(recipient.peer_address);
    }
    if (!addresses.empty()) {
        this->link.send_all(std::move(addresses), pack_message(message));
    }
    if (!addresses_unpacked.empty()) {
        this->link.send_all(std::move(addresses_unpacked), message);
    }
}

bool gateway_peers::lacks_manifest(std::uint64_t version, time_ms now) const
{
    bool lacks = false;
    this->members.visit_alive(now,
                              [&](const member_identity& /*identity*/, const member_heartbeat& heartbeat) {
                                  lacks = lacks || heartbeat.config_number < version;
                              });
    return lacks;
}

std::vector<member_identity> gateway_peers::serving() const
{
    std::vector<member_identity> found;
    this->members.visit_alive(this->clock.now(),
                              [&](const member_identity& identity, const member_heartbeat& heartbeat) {
                                  if (takes_callers(identity, heartbeat)) {
                                      found.push_back(identity);
                                  }
                              });
    return found;
}

std::vector<relaying_gateway> gateway_peers::relaying() const
{
    std::vector<relaying_gateway> found;
    for (const auto& view : this->members.alive(this->clock.now())) {
        const auto key = this->peer_keys.find(view.identity.name, view.heartbeat.incarnation);
        if (key && view.understands(peer_feature::relayed_requests) && !view.heartbeat.is_cut_off &&
            takes_callers(view.identity, view.heartbeat)) {
            found.push_back({view.identity, *key});
        }
    }
    return found;
}

std::vector<gateway_report> gateway_peers::reports() const
{
    const auto& self = this->members.self();
    const auto& own = this->members.own_heartbeat();
    std::vector<gateway_report> found{
        {self.name, shown_build(self.build), names_of(self.features), own.stopping, own.is_cut_off}};
    for (const auto& view : this->members.alive(this->clock.now())) {
        // The identity may be that of the process before, which says nothing about this one.
        const bool is_known = view.identity.incarnation == view.heartbeat.incarnation;
        found.push_back({view.identity.name, shown_build(is_known ? view.identity.build : ""),
                         is_known ? names_of(view.identity.features) : "unknown", view.heartbeat.stopping,
                         view.heartbeat.is_cut_off});
    }
    return found;
}

bool gateway_peers::all_understand(peer_feature feature) const
{
    bool do_all = true;
    this->members.visit_alive(this->clock.now(),
                              [&](const member_identity& identity, const member_heartbeat& heartbeat) {
                                  do_all = do_all && identity.incarnation == heartbeat.incarnation &&
                                           identity.features.contains(feature);
                              });
    return do_all;
}

std::size_t gateway_peers::count() const
{
    std::size_t alive = 1;
    this->members.visit_alive(this->clock.now(), [&](const member_identity& /*identity*/,
                                                     const member_heartbeat& /*heartbeat*/) { ++alive; });
    return alive;
}

std::uint64_t gateway_peers::controller_digest() const
{
    const auto& own = this->members.own_heartbeat();
    std::uint64_t digest = (own.is_cut_off ? 1U : 0U) | (own.is_strong ? 2U : 0U);
    this->members.visit_alive(
        this->clock.now(), [&](const member_identity& /*identity*/, const member_heartbeat& heartbeat) {
            const std::array<std::uint64_t, 2> state{
                heartbeat.id, (heartbeat.table_reachable ? 1U : 0U) | (heartbeat.stopping ? 2U : 0U) |
                                  (heartbeat.is_cut_off ? 4U : 0U) | (heartbeat.is_strong ? 8U : 0U)};
            digest = stable_hash({reinterpret_cast<const char*>(state.data()), sizeof(state)}, digest);
        });
    return digest;
}

gateway_peers::controller_list& gateway_peers::current_controllers() const
{
    auto& list = this->known_controllers;
    const auto digest = this->controller_digest();
    if (!list.names.empty() && list.digest == digest) {
        return list;
    }
    const auto& self = this->members.self();
    std::array<controller_list, 3> kinds; // Strong, others, cut off from hosts.
    controller_list all;
    const auto add = [&](const member_identity& identity, const member_heartbeat& heartbeat) {
        const bool is_near = identity.failure_domain == self.failure_domain;
        ++all.daemons;
        all.nearby_daemons += is_near ? 1 : 0;
        auto& kind = kinds.at(heartbeat.is_cut_off ? 2 : heartbeat.is_strong ? 0 : 1);
        kind.names.push_back(identity.name);
        if (is_near) {
            kind.nearby.push_back(identity.name);
        }
    };
    add(self, this->members.own_heartbeat());
    this->members.visit_alive(this->clock.now(),
                              [&](const member_identity& identity, const member_heartbeat& heartbeat) {
                                  if (heartbeat.table_reachable && !heartbeat.stopping) {
                                      add(identity, heartbeat);
                                  }
                              });
    auto& [strong, others, cut_off] = kinds;
    const auto join = [](std::vector<std::string>& first, const std::vector<std::string>& second) {
        first.insert(first.end(), second.begin(), second.end());
    };
    const bool are_enough = strong.names.size() >= min_strong;
    if (are_enough) {
        others.names.clear();
    }
    if (are_enough && !strong.nearby.empty()) {
        others.nearby.clear(); // Else the failure domain has none, and one of the others reads.
    }
    join(strong.names, others.names);
    join(strong.nearby, others.nearby);
    list = std::move(strong.names.empty() ? cut_off : strong);
    list.digest = digest;
    list.daemons = all.daemons;
    list.nearby_daemons = all.nearby_daemons;
    std::sort(list.names.begin(), list.names.end());
    std::sort(list.nearby.begin(), list.nearby.end());
    return list;
}

const std::vector<std::string>& gateway_peers::controllers() const
{
    return this->current_controllers().names;
}

bool gateway_peers::is_controller() const
{
    const auto& names = this->controllers();
    return std::binary_search(names.begin(), names.end(), this->members.self().name);
}

} // namespace coriander
