#include "controller/controller.hpp"

#include "coriander/config_record.hpp"
#include "coriander/drain_row.hpp"
#include "coriander/member_row.hpp"
#include "coriander/shard_choice.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace coriander {
namespace {

constexpr time_ms member_row_window = 15_s;
constexpr time_ms order_timeout = 800_ms;

std::set<std::string> fabric_domains(const fleet& view)
{
    std::set<std::string> domains;
    for (const auto& host : view.hosts) {
        if (host.record.kind == host_kind::engine && !host.record.fabric_domain.empty()) {
            domains.insert(host.record.fabric_domain);
        }
    }
    return domains;
}

} // namespace

controller::controller(const settings& values, const std::string& incarnation, metrics& registry)
    : values{values}, holder_id{values.name + "@" + incarnation}, registry{registry},
      platform{{values.table_url, values.object_url, values.host_list_url}},
      poller{client, values.health_window}, started_at{clock.now()}, member_rows{member_row_window}
{
}

controller::~controller()
{
    this->stop();
}

void controller::start(const std::string& address)
{
    this->http_address = address;
    this->poll_thread = std::thread{[this] { this->poll_loop(); }};
    this->control_thread = std::thread{[this] { this->control_loop(); }};
}

void controller::stop()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->stop_requested.notify_all();
    if (this->poll_thread.joinable()) {
        this->poll_thread.join();
        this->control_thread.join();
        for (auto& [name, manager] : this->managers) {
            manager->release();
        }
    }
}

/// Waits for `length`. Returns false if the controller was stopped.
bool controller::wait(time_ms length)
{
    std::unique_lock lock{this->mutex};
    const auto duration = std::chrono::milliseconds{length.count()};
    return !this->stop_requested.wait_for(lock, duration, [this] { return this->stopping; });
}

void controller::poll_loop()
{
    while (this->wait(this->values.health_interval)) {
        std::vector<polled_host> targets;
        {
            const std::scoped_lock lock{this->mutex};
            targets = this->poll_targets;
        }
        this->poller.poll(targets, this->values.health_window);
    }
}

void controller::control_loop()
{
    do {
        this->run_round();
    } while (this->wait(this->values.refresh_interval));
}

void controller::run_round()
{
    const bool is_read = this->read_platform();
    this->update_table_state(is_read);
    if (!is_read) {
        return;
    }
    if (!this->address_published) {
        this->publish_address(this->http_address);
    }
    this->merge_reports();
    this->manage_shards();
    this->update_poll_targets();
    this->log_replica_changes(this->snapshot.view);
    this->update_metrics(this->snapshot.view);
}

/// Writes this controller's address to the table, where operators' tools look it up.
void controller::publish_address(const std::string& http_address)
{
    const auto key = controller_row_key(this->values.name);
    const auto row = this->platform.read(key);
    const std::uint64_t version = row && row.value() ? row.value()->version : 0;
    const std::array<table_write, 1> writes{table_write{key, version, http_address}};
    this->address_published = row && this->platform.commit(writes).state == commit_state::applied;
}

void controller::update_table_state(bool reachable)
{
    this->last_read_succeeded = reachable;
    if (reachable != this->table_was_reachable) {
        log_event(reachable ? event::table_back : event::table_unreachable,
                  {{"url", this->values.table_url}});
        this->table_was_reachable = reachable;
    }
}

bool controller::read_platform()
{
    auto hosts = this->platform.list_hosts();
    if (!hosts) {
        log_event(event::host_list_unreachable, {{"why", hosts.error().message}});
        return false;
    }
    return this->read_config() && this->read_rows(std::move(hosts).value());
}

bool controller::read_config()
{
    const auto row = this->platform.read(config_row_key);
    if (!row) {
        return false;
    }
    const auto record = row.value() ? decode_config(row.value()->value) : std::nullopt;
    if (!record || record->number <= this->config_number) {
        return true;
    }
    auto checked = parse_configuration(record->toml, "configuration");
    this->config_number = record->number;
    if (!checked.faults.empty()) {
        log_event(event::config_rejected,
                  {{"number", record->number}, {"findings", findings_text(checked.faults)}});
        return true;
    }
    this->config = std::move(checked.config);
    log_event(event::config_in_force, {{"number", record->number}, {"author", record->author}});
    return true;
}

bool controller::read_rows(std::vector<host_record> hosts)
{
    const auto replicas = this->platform.scan(replica_prefix);
    const auto claims = this->platform.scan(host_claim_prefix);
    const auto drains = this->platform.scan(drain_prefix);
    const auto member_list = this->platform.scan(member_prefix);
    if (!replicas || !claims || !drains || !member_list) {
        return false;
    }
    this->snapshot = make_snapshot(std::move(hosts), replicas.value(), claims.value(), drains.value());
    this->read_members(member_list.value(), this->clock.now());
    return true;
}

void controller::read_members(const std::vector<table_row>& rows, time_ms now)
{
    this->members = {this->values.name};
    for (const auto& row : rows) {
        this->member_rows.observe(row.key, row.version, now);
        const auto member = decode_member(row.value);
        const bool counts = member && !member->stopping && this->member_rows.is_fresh(row.key, now);
        if (counts && member->identity.name != this->values.name) {
            this->members.push_back(member->identity.name);
        }
    }
}

controller::manager_type& controller::manager_for(const std::string& shard)
{
    auto& manager = this->managers[shard];
    if (!manager) {
        manager =
            std::make_unique<manager_type>(shard, this->holder_id, this->values, this->platform, this->clock,
                                           [this](const engine_order& order) { this->send(order); });
    }
    return *manager;
}

/// Whether to try to acquire or renew the shard's lease. After the start, a controller waits one lease
/// duration per rank, so that each shard goes to its preferred member.
bool controller::may_acquire(const std::string& shard, std::size_t rank) const
{
    const auto manager = this->managers.find(shard);
    if (manager != this->managers.end() && manager->second->is_held()) {
        return true;
    }
    const auto delay = this->values.lease_duration * static_cast<std::int64_t>(rank);
    return rank < lease_candidates && this->clock.now() - this->started_at >= delay;
}

void controller::manage_shards()
{
    for (const auto& shard : fabric_domains(this->snapshot.view)) {
        const auto rank = shard_rank(shard, this->values.name, this->members);
        if (!this->may_acquire(shard, rank)) {
            continue;
        }
        auto& manager = this->manager_for(shard);
        if (manager.hold()) {
            manager.work(this->config, this->snapshot);
        }
    }
}

/// Merges the hosts' reports into the snapshot. A host counts as lost when it has not reported for
/// `lost_after`; time before this controller acquired the shard is not counted.
void controller::merge_reports()
{
    const auto now = this->clock.now();
    this->poller.with_health([&](const replica_health& health) {
        for (auto& host : this->snapshot.view.hosts) {
            const auto manager = this->managers.find(host.record.fabric_domain);
            if (manager == this->managers.end() || !manager->second->is_held()) {
                continue;
            }
            if (const auto* report = health.fresh_report(host.record.id, now)) {
                host.report = *report;
            }
            const auto since = manager->second->held_since();
            const auto heard = std::max(since, health.last_report_time(host.record.id).value_or(since));
            host.lost = now - heard > this->values.lost_after;
        }
    });
}

void controller::update_poll_targets()
{
    std::vector<polled_host> targets;
    for (const auto& host : this->snapshot.view.hosts) {
        const auto manager = this->managers.find(host.record.fabric_domain);
        const bool is_held = manager != this->managers.end() && manager->second->is_held();
        if (host.record.kind == host_kind::engine && is_held) {
            targets.push_back({host.record.id, host.record.address});
        }
    }
    const std::scoped_lock lock{this->mutex};
    this->poll_targets = std::move(targets);
}

void controller::log_replica_changes(const fleet& view)
{
    const auto now = this->clock.now();
    for (const auto& replica : view.replicas) {
        const auto manager = this->managers.find(replica.fabric_domain);
        if (manager == this->managers.end() || !manager->second->is_held()) {
            this->known_faults.erase(replica.id());
            continue;
        }
        const auto checked = this->poller.with_health(
            [&](const replica_health& health) { return health.check(replica, now); });
        const auto [known, is_new] = this->known_faults.try_emplace(replica.id(), replica_fault::not_wanted);
        if (checked.fault == known->second) {
            continue;
        }
        known->second = checked.fault;
        if (checked.serves()) {
            log_event(event::replica_up, {{"replica", replica.id()}, {"generation", replica.generation}});
        }
        else {
            log_event(event::replica_down, {{"replica", replica.id()},
                                            {"generation", replica.generation},
                                            {"fault", name_of(checked.fault)},
                                            {"host", checked.host}});
        }
    }
}

/// Every controller counts the replicas of its own shards. Slots without a replica belong to no shard; they
/// are counted by the controller that holds the first shard.
void controller::update_metrics(const fleet& view)
{
    const auto now = this->clock.now();
    std::map<std::string, profile_sample> samples;
    std::set<std::string> placed;
    for (const auto& replica : view.replicas) {
        const auto* service = this->config.find_service(replica.service);
        if (service == nullptr || replica.members.empty()) {
            continue;
        }
        placed.insert(replica.id());
        const auto manager = this->managers.find(replica.fabric_domain);
        if (manager == this->managers.end() || !manager->second->is_held()) {
            continue;
        }
        auto& sample = samples[service->profile];
        const auto hosts = static_cast<std::uint32_t>(replica.members.size());
        const bool serves = this->known_faults[replica.id()] == replica_fault::none;
        sample.replicas_wanted += replica.slot < service->replicas ? 1 : 0;
        sample.hosts_held += hosts;
        sample.replicas_serving += serves ? 1 : 0;
        sample.hosts_serving += serves ? hosts : 0;
    }
    const auto domains = fabric_domains(view);
    const auto first = domains.empty() ? this->managers.end() : this->managers.find(*domains.begin());
    const bool counts_empty = first != this->managers.end() && first->second->is_held();
    for (const auto& service : this->config.services) {
        const auto* rules = this->config.find_profile(service.profile);
        if (rules == nullptr || rules->kind != profile_kind::model) {
            continue;
        }
        auto& sample = samples[service.profile];
        for (std::uint32_t slot = 0; counts_empty && slot < service.replicas; ++slot) {
            sample.replicas_wanted += placed.contains(service.name + "/" + std::to_string(slot)) ? 0 : 1;
        }
    }
    for (const auto& [profile, sample] : samples) {
        this->totals.add(profile, sample, now);
        const auto label = "profile=\"" + profile + "\"";
        const auto& sum = this->totals.totals().at(profile);
        this->registry.set("coriander_replicas_wanted", label, sample.replicas_wanted);
        this->registry.set("coriander_replicas_serving", label, sample.replicas_serving);
        this->registry.set("coriander_group_downtime_seconds", label, sum.downtime_s);
        this->registry.set("coriander_stranded_host_seconds", label, sum.stranded_s);
    }
    this->registry.set("coriander_table_reads", "", static_cast<double>(this->platform.table_reads()));
    this->registry.set("coriander_table_writes", "", static_cast<double>(this->platform.table_writes()));
}

void controller::send(const engine_order& order)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + order.address + "/engine/order";
    call.body = order.body;
    call.total_timeout = order_timeout;
    // On a reused connection, the HTTP library could resend the order after the lease has expired.
    call.fresh_connection = true;
    log_event(event::order_sent, {{"host", order.host}, {"order", order.summary}});
    this->client.start(std::move(call), {}, [order](const http_result& end) {
        if (!end.ok()) {
            log_event(event::order_failed, {{"host", order.host},
                                            {"order", order.summary},
                                            {"status", end.status},
                                            {"why", end.message}});
        }
    });
}

} // namespace coriander
