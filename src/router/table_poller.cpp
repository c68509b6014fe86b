#include "router/table_poller.hpp"

#include "coriander/drain_row.hpp"
#include "runtime/log.hpp"

#include <array>

namespace coriander {
namespace {

constexpr time_ms member_read_interval = 2_s;
constexpr time_ms row_renewal_interval = 5_s;
constexpr time_ms isolation_timeout = 5_s;

} // namespace

table_poller::table_poller(const settings& values, platform_client& platform, config_store& configs,
                           peer_exchange& peers)
    : values{values}, platform{platform}, configs{configs}, peers{peers}, isolation{isolation_timeout}
{
    this->isolation.on_table_contact(this->clock.now());
}

std::shared_ptr<const target_list> table_poller::targets() const
{
    const std::scoped_lock lock{this->mutex};
    return this->list;
}

void table_poller::refresh()
{
    const bool config_read = this->read_config();
    this->on_table_result(config_read);
    if (config_read) {
        this->read_members();
    }
    this->read_targets();
}

void table_poller::on_table_result(bool is_reachable)
{
    if (is_reachable) {
        const std::scoped_lock lock{this->mutex};
        this->isolation.on_table_contact(this->clock.now());
    }
    if (this->reachable.exchange(is_reachable) != is_reachable) {
        log_event(is_reachable ? event::table_back : event::table_unreachable,
                  {{"url", this->values.table_url}});
    }
}

bool table_poller::read_config()
{
    const auto row = this->platform.read(config_row_key);
    if (!row) {
        return false;
    }
    if (const auto record = row.value() ? decode_config(row.value()->value) : std::nullopt) {
        this->configs.adopt_if_newer(*record, "table");
    }
    return true;
}

void table_poller::read_members()
{
    const auto now = this->clock.now();
    if (this->has_read_members && now - this->members_read_at < member_read_interval) {
        return;
    }
    const auto rows = this->platform.scan(member_prefix);
    if (!rows) {
        return;
    }
    this->has_read_members = true;
    this->members_read_at = now;
    for (const auto& row : rows.value()) {
        if (const auto member = decode_member(row.value)) {
            this->peers.add_member(member->identity);
        }
    }
}

void table_poller::read_targets()
{
    auto next = std::make_shared<target_list>(*this->targets());
    if (auto hosts = this->platform.list_hosts()) {
        next->hosts = std::move(hosts).value();
    }
    const auto rows =
        this->reachable ? this->platform.scan(replica_prefix) : fail(error_kind::unavailable, "");
    const auto drains =
        this->reachable ? this->platform.scan(drain_prefix) : fail(error_kind::unavailable, "");
    if (rows) {
        next->replicas.clear();
        for (const auto& row : rows.value()) {
            if (auto replica = decode_replica(row.value)) {
                next->replicas.push_back(std::move(*replica));
            }
        }
    }
    if (drains) {
        next->drained.clear();
        for (const auto& row : drains.value()) {
            next->drained.insert(row.key.substr(drain_prefix.size()));
        }
    }
    const std::scoped_lock lock{this->mutex};
    this->list = std::move(next);
}

void table_poller::write_member_row(bool stopping)
{
    const auto now = this->clock.now();
    member_row row;
    row.identity = this->peers.self();
    row.config_number = this->configs.current()->record.number;
    row.stopping = stopping;
    row.renewals = this->written.renewals + 1;
    const bool has_changed =
        row.config_number != this->written.config_number || stopping != this->written.stopping;
    if (this->row_version != 0 && !has_changed && now - this->written_at < row_renewal_interval) {
        return;
    }
    const auto key = member_row_key(this->values.name);
    const std::array<table_write, 1> writes{table_write{key, this->row_version, encode_member(row)}};
    const auto outcome = this->platform.commit(writes);
    if (outcome.state == commit_state::applied) {
        this->written = row;
        this->row_version = outcome.version;
        this->written_at = now;
    }
    else if (outcome.state == commit_state::conflict && !outcome.current.empty()) {
        // The row of an earlier run, or of a write whose response was lost: overwritten next time.
        this->row_version = outcome.current.front().version;
    }
}

void table_poller::remove_member_row()
{
    const std::array<table_write, 1> writes{
        table_write{member_row_key(this->values.name), this->row_version, std::nullopt}};
    (void)this->platform.commit(writes);
}

bool table_poller::may_serve()
{
    const auto alive = this->peers.alive().size();
    const auto known = this->peers.known_peer_count();
    const std::scoped_lock lock{this->mutex};
    return this->isolation.may_serve(alive, known, this->clock.now());
}

} // namespace coriander
