#pragma once

#include "coriander/clock.hpp"
#include "coriander/table_store.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

/// The lease's row. `renewals` changes with every renewal, so that others can see that the holder is alive.
struct lease_record {
    std::string holder;
    std::uint64_t fence = 0; ///< The fencing number: increases with every change of holder.
    std::uint64_t renewals = 0;
};

[[nodiscard]] std::string encode_lease(const lease_record& lease);
[[nodiscard]] lease_record decode_lease(const std::string& text);

/// Durations of a lease. All hosts must use the same `duration`.
struct lease_settings {
    time_ms duration{5000};
    /// Added to `duration` before a takeover, to allow for clocks that run at slightly different rates.
    time_ms takeover_margin{1000};
};

/// One controller's side of the lease on a shard.
///
/// Clocks of different hosts are never compared. The holder counts the lease's duration from just before it
/// sends the write that renews it. Another controller takes the lease over only after it has seen the row
/// unchanged for longer than the duration. The lease therefore always expires for the holder first. Not
/// thread-safe.
template <table_store Table, clock_source Clock>
class shard_lease {
public:
    shard_lease(Table& table, const Clock& clock, const std::string& shard, std::string self,
                lease_settings settings = {})
        : table{table}, clock{clock}, row_key{"leases/" + shard}, self{std::move(self)}, settings{settings}
    {
    }

    /// Acquires or renews the lease if that is possible now. Blocks during calls to the table.
    /// Returns whether the lease is held afterwards.
    bool try_hold()
    {
        if (this->remaining() > this->settings.duration * 2 / 3) {
            return true; // Too early to renew: each renewal is a write to the table.
        }
        const auto row = this->table.read(this->row_key);
        if (!row) {
            return this->remaining() > time_ms{};
        }
        const auto current = row.value() ? *row.value() : table_row{};
        const auto lease = decode_lease(current.value);
        this->observe(current.version);
        const bool is_own = lease.holder == this->self && current.version != 0;
        if (is_own) {
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

    /// Releases the lease, so that another controller can acquire it without waiting. The fencing number
    /// stays in the row.
    void release()
    {
        const bool was_held = this->remaining() > time_ms{};
        this->held_until = time_ms{};
        if (was_held) {
            this->commit(this->seen_version, {"", this->current_fence, 0});
        }
    }

    /// A renewal of the lease, to be committed in one transaction with other writes, so that they take effect
    /// only if no other controller has taken the lease over. Precondition: the lease is held.
    [[nodiscard]] table_write renewal() const
    {
        return {this->row_key, this->seen_version, encode_lease(this->next_renewal())};
    }

    /// Records the outcome of a commit that contained `renewal()` and was sent at `sent_at`.
    void on_renewal(const commit_outcome& outcome, time_ms sent_at)
    {
        if (outcome.state == commit_state::applied) {
            this->renewals = this->next_renewal().renewals;
            this->note_held(sent_at, outcome.version);
        }
    }

    /// For how long the lease is guaranteed to be held; zero or less when it is not held.
    [[nodiscard]] time_ms remaining() const { return this->held_until - this->clock.now(); }

    /// Whether an order that may need up to `order_limit` to take effect can still be sent. Call this
    /// immediately before each order.
    [[nodiscard]] bool may_order(time_ms order_limit) const { return this->remaining() > order_limit; }

    /// The fencing number of the lease; valid only while it is held.
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
        const auto unchanged_for = this->clock.now() - this->unchanged_since;
        return unchanged_for > this->settings.duration + this->settings.takeover_margin;
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
