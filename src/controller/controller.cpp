#include "controller/controller.hpp"

#include "coriander/config_record.hpp"
#include "coriander/drain_mark.hpp"
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

controller::controller(const settings& values, const std::string& incarnation, metrics& numbers)
    : values{values}, self{values.name + "@" + incarnation}, numbers{numbers},
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
    this->work_thread = std::thread{[this] { this->work_loop(); }};
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
        this->work_thread.join();
        for (auto& [name, keeper] : this->keepers) {
            keeper->release();
        }
    }
}

/// Waits, or returns false when the controller stops.
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
            targets = this->polled;
        }
        this->poller.poll(targets, this->values.health_window);
    }
}

void controller::work_loop()
{
    do {
        this->work();
    } while (this->wait(this->values.refresh_interval));
}

void controller::work()
{
    const bool is_read = this->read_platform();
    this->note_table(is_read);
    if (!is_read) {
        return;
    }
    if (!this->announced) {
        this->announce(this->http_address);
    }
    this->fill_reports();
    this->keep_shards();
    this->choose_polled();
    this->log_changes(this->snapshot.view);
    this->account(this->snapshot.view);
}

/// Tells operators' tools where this controller answers.
void controller::announce(const std::string& http_address)
{
    const auto key = controller_row_key(this->values.name);
    const auto row = this->platform.read(key);
    const std::uint64_t version = row && row.value() ? row.value()->version : 0;
    const std::array<table_write, 1> writes{table_write{key, version, http_address}};
    this->announced = row && this->platform.commit(writes).state == commit_state::applied;
}

void controller::note_table(bool reachable)
{
    this->table_read = reachable;
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

controller::keeper_type& controller::keeper_of(const std::string& shard)
{
    auto& keeper = this->keepers[shard];
    if (!keeper) {
        keeper = std::make_unique<keeper_type>(shard, this->self, this->values, this->platform, this->clock,
                                               [this](const engine_order& order) { this->send(order); });
    }
    return *keeper;
}

/// Those behind the first in line hold back at the start, so that shards fall where they belong.
bool controller::should_try(const std::string& shard, std::size_t rank) const
{
    const auto keeper = this->keepers.find(shard);
    if (keeper != this->keepers.end() && keeper->second->is_held()) {
        return true;
    }
    const auto patience = this->values.lease_duration * static_cast<std::int64_t>(rank);
    return rank < shard_watchers && this->clock.now() - this->started_at >= patience;
}

void controller::keep_shards()
{
    for (const auto& shard : fabric_domains(this->snapshot.view)) {
        const auto rank = shard_rank(shard, this->values.name, this->members);
        if (!this->should_try(shard, rank)) {
            continue;
        }
        auto& keeper = this->keeper_of(shard);
        if (keeper.hold()) {
            keeper.work(this->config, this->snapshot);
        }
    }
}

/// Joins what hosts said with the snapshot. A host is lost when it has been silent for long, counted from
/// when this controller began to look.
void controller::fill_reports()
{
    const auto now = this->clock.now();
    this->poller.with_health([&](const replica_health& health) {
        for (auto& host : this->snapshot.view.hosts) {
            const auto keeper = this->keepers.find(host.record.fabric_domain);
            if (keeper == this->keepers.end() || !keeper->second->is_held()) {
                continue;
            }
            if (const auto* report = health.fresh_report(host.record.id, now)) {
                host.report = *report;
            }
            const auto since = keeper->second->held_since();
            const auto heard = std::max(since, health.last_report_time(host.record.id).value_or(since));
            host.lost = now - heard > this->values.lost_after;
        }
    });
}

void controller::choose_polled()
{
    std::vector<polled_host> targets;
    for (const auto& host : this->snapshot.view.hosts) {
        const auto keeper = this->keepers.find(host.record.fabric_domain);
        const bool is_kept = keeper != this->keepers.end() && keeper->second->is_held();
        if (host.record.kind == host_kind::engine && is_kept) {
            targets.push_back({host.record.id, host.record.address});
        }
    }
    const std::scoped_lock lock{this->mutex};
    this->polled = std::move(targets);
}

void controller::log_changes(const fleet& view)
{
    const auto now = this->clock.now();
    for (const auto& replica : view.replicas) {
        const auto keeper = this->keepers.find(replica.fabric_domain);
        if (keeper == this->keepers.end() || !keeper->second->is_held()) {
            this->known_faults.erase(replica.id());
            continue;
        }
        const auto judged = this->poller.with_health(
            [&](const replica_health& health) { return health.check(replica, now); });
        const auto [known, is_new] = this->known_faults.try_emplace(replica.id(), replica_fault::not_wanted);
        if (judged.fault == known->second) {
            continue;
        }
        known->second = judged.fault;
        if (judged.serves()) {
            log_event(event::replica_up, {{"replica", replica.id()}, {"generation", replica.generation}});
        }
        else {
            log_event(event::replica_down, {{"replica", replica.id()},
                                            {"generation", replica.generation},
                                            {"fault", name_of(judged.fault)},
                                            {"host", judged.host}});
        }
    }
}

/// Each shard counts its own replicas; empty places are counted where the first shard is held.
void controller::account(const fleet& view)
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
        const auto keeper = this->keepers.find(replica.fabric_domain);
        if (keeper == this->keepers.end() || !keeper->second->is_held()) {
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
    const auto first = domains.empty() ? this->keepers.end() : this->keepers.find(*domains.begin());
    const bool counts_empty = first != this->keepers.end() && first->second->is_held();
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
        this->numbers.set("coriander_replicas_wanted", label, sample.replicas_wanted);
        this->numbers.set("coriander_replicas_serving", label, sample.replicas_serving);
        this->numbers.set("coriander_group_downtime_seconds", label, sum.downtime_s);
        this->numbers.set("coriander_stranded_host_seconds", label, sum.stranded_s);
    }
    this->numbers.set("coriander_table_reads", "", static_cast<double>(this->platform.table_reads()));
    this->numbers.set("coriander_table_writes", "", static_cast<double>(this->platform.table_writes()));
}

void controller::send(const engine_order& order)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + order.address + "/engine/order";
    call.body = order.body;
    call.total_limit = order_timeout;
    // An order must not be sent a second time by the library after the lease has ended.
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
