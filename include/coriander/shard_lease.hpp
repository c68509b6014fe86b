#pragma once

#include "coriander/clock.hpp"
#include "coriander/table_store.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

/// The lease's row. `renewals` makes every renewal a change, so that others can see that the holder lives.
struct lease_record {
    std::string holder;
    std::uint64_t fence = 0; ///< The fencing number: grows with every change of holder.
    std::uint64_t renewals = 0;
};

[[nodiscard]] std::string encode_lease(const lease_record& lease);
[[nodiscard]] lease_record decode_lease(const std::string& text);

/// Lengths of a lease. All hosts must use the same `duration`.
struct lease_settings {
    time_ms duration{5000};
    /// Added by those who wait, against clocks that run at slightly different speeds.
    time_ms takeover_margin{1000};
};

/// One controller's side of the lease on a shard.
///
/// No clock is compared between hosts. The holder counts its lease from before it sent the write that renewed
/// it. Another takes the lease only after it saw the row unchanged for longer than the lease's length. So a
/// holder's own count always ends first. Not thread-safe.
template <table_store Table, clock_source Clock>
class shard_lease {
public:
    shard_lease(Table& table, const Clock& clock, const std::string& shard, std::string self,
                lease_settings settings = {})
        : table{table}, clock{clock}, row_key{"leases/" + shard}, self{std::move(self)}, settings{settings}
    {
    }

    /// Takes or renews the lease if that is possible now. Blocks while the table is called.
    /// Returns whether the lease is held afterwards.
    bool try_hold()
    {
        if (this->remaining() > this->settings.duration * 2 / 3) {
            return true; // Too early to renew: each renewal costs the table a write.
        }
        const auto row = this->table.read(this->row_key);
        if (!row) {
            return this->remaining() > time_ms{};
        }
        const auto current = row.value() ? *row.value() : table_row{};
        const auto lease = decode_lease(current.value);
        this->observe(current.version);
        const bool is_ours = lease.holder == this->self && current.version != 0;
        if (is_ours) {
            this->write(current.version, {this->self, lease.fence, lease.renewals + 1});
        }
        else if (this->may_take(lease, current.version)) {
            this->write(current.version, {this->self, lease.fence + 1, 0});
        }
        else {
            this->held_until = time_ms{};
        }
        return this->remaining() > time_ms{};
    }

    /// Gives the lease up, so that another need not wait. The fencing number stays in the row.
    void release()
    {
        const bool was_held = this->remaining() > time_ms{};
        this->held_until = time_ms{};
        if (was_held) {
            this->commit(this->seen_version, {"", this->current_fence, 0});
        }
    }

    /// A renewal of the lease to be committed together with other writes, so that they take effect only while
    /// no other holder has taken the shard. Precondition: the lease is held.
    [[nodiscard]] table_write renewal() const
    {
        return {this->row_key, this->seen_version, encode_lease(this->next_renewal())};
    }

    /// Tells the outcome of a commit that held `renewal()` and was sent at `sent_at`.
    void on_renewal(const commit_outcome& outcome, time_ms sent_at)
    {
        if (outcome.state == commit_state::applied) {
            this->renewals = this->next_renewal().renewals;
            this->note_held(sent_at, outcome.version);
        }
    }

    /// How long the lease surely still holds; zero or less when it doesn't.
    [[nodiscard]] time_ms remaining() const { return this->held_until - this->clock.now(); }

    /// Whether an order that may take `order_limit` to land can still be sent. Ask right before each order.
    [[nodiscard]] bool may_order(time_ms order_limit) const { return this->remaining() > order_limit; }

    /// The fencing number of the lease; meaningful only while it is held.
    [[nodiscard]] std::uint64_t fence() const noexcept { return this->current_fence; }

private:
    void observe(std::uint64_t version)
    {
        if (version != this->seen_version || !this->has_seen) {
            this->seen_version = version;
            this->unchanged_since = this->clock.now();
            this->has_seen = true;
        }
    }

    bool may_take(const lease_record& lease, std::uint64_t version) const
    {
        if (version == 0 || lease.holder.empty()) {
            return true;
        }
        const auto quiet = this->clock.now() - this->unchanged_since;
        return quiet > this->settings.duration + this->settings.takeover_margin;
    }

    commit_outcome commit(std::uint64_t expected, const lease_record& lease)
    {
        const std::array<table_write, 1> writes{table_write{this->row_key, expected, encode_lease(lease)}};
        return this->table.commit(writes);
    }

    void write(std::uint64_t expected, const lease_record& lease)
    {
        const auto sent_at = this->clock.now();
        const auto outcome = this->commit(expected, lease);
        if (outcome.state == commit_state::applied) {
            this->current_fence = lease.fence;
            this->renewals = lease.renewals;
            this->note_held(sent_at, outcome.version);
        }
        else if (outcome.state == commit_state::conflict) {
            this->held_until = time_ms{};
        }
    }

    [[nodiscard]] lease_record next_renewal() const
    {
        return {this->self, this->current_fence, this->renewals + 1};
    }

    void note_held(time_ms sent_at, std::uint64_t version)
    {
        this->held_until = sent_at + this->settings.duration;
        this->seen_version = version;
        this->unchanged_since = sent_at;
    }

    Table& table;
    const Clock& clock;
    std::string row_key;
    std::string self;
    lease_settings settings;
    std::uint64_t seen_version = 0;
    bool has_seen = false;
    time_ms unchanged_since;
    time_ms held_until;
    std::uint64_t current_fence = 0;
    std::uint64_t renewals = 0;
};

} // namespace coriander
