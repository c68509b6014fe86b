#pragma once

#include "coriander/claim.hpp"
#include "coriander/clock.hpp"
#include "coriander/random_source.hpp"
#include "coriander/table_store.hpp"

#include <array>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// How claims are made and kept.
struct claim_settings {
    int commit_attempts = 3;                   ///< Tries of one claim before the store counts as down.
    time_ms retention{7LL * 24 * 3600 * 1000}; ///< How old a key may be.
};

/// Lets a request that must not repeat run at most once, over all routers.
///
/// A claim is one row, inserted only if absent, before the first byte goes to a target. The row says
/// "dispatched" from the start: whoever finds it must assume that its owner sends or has sent the request, so
/// that no lease or time-out is involved and an owner that sleeps and wakes is still the only sender.
///
/// Thread-safe. No lock is held while the table is called.
template <table_store Table, clock_source Clock, random_source Random>
class claim_ledger {
public:
    /// Tells whether the router with this name and incarnation is known to be alive.
    using owner_alive = std::function<bool(const std::string& owner)>;

    claim_ledger(Table& table, const Clock& wall_clock, Random random, std::string owner, owner_alive alive,
                 claim_settings settings = {})
        : table{table}, wall_clock{wall_clock}, random{std::move(random)}, owner{std::move(owner)},
          alive{std::move(alive)}, settings{settings}
    {
    }

    /// Claims the key, or says why the request must not be sent. Blocks while the table is called. After
    /// `store_down` nothing was sent, and the ledger keeps the key from being blocked: see `settle`.
    [[nodiscard]] claim_decision begin(const claim_key& key, const std::string& body_digest)
    {
        if (this->is_expired(key)) {
            return {claim_verdict::key_expired, {}, {}};
        }
        claim_grant grant{claim_row_key(key), this->new_record(body_digest), 0};
        std::uint64_t expected = 0;
        bool may_land_later = false;
        for (int attempt = 0; attempt < this->settings.commit_attempts; ++attempt) {
            const auto outcome = this->write(grant.row_key, expected, grant.record);
            if (outcome.state == commit_state::applied) {
                return this->granted(grant, outcome.version);
            }
            if (outcome.state == commit_state::conflict) {
                const auto existing = first_row(outcome);
                const auto found = decode_claim(existing.value);
                if (found.token == grant.record.token) {
                    return this->granted(grant, existing.version);
                }
                if (existing.version != 0 && found.state != claim_state::released) {
                    return this->judge(found, body_digest);
                }
                expected = existing.version;
            }
            may_land_later = may_land_later || outcome.state == commit_state::unknown;
        }
        if (may_land_later) {
            grant.version = expected; // What a late write would replace.
            this->remember_abandoned(grant);
        }
        return {claim_verdict::store_down, {}, {}};
    }

    /// Keeps the answer of a request that ended. When the table can't be written now, `settle` writes it
    /// later; repeats that reach this router get the answer all the same.
    void complete(const claim_grant& grant, stored_answer answer)
    {
        this->end(grant, claim_state::done, std::move(answer));
    }

    /// Notes that the request was sent and that nobody will learn how it ended.
    void mark_unknown(const claim_grant& grant) { this->end(grant, claim_state::unknown, {}); }

    /// Frees the key of a request that was granted and then surely not sent.
    void release(const claim_grant& grant) { this->end(grant, claim_state::released, {}); }

    /// Writes what could not be written before: ends of requests, and releases of claims whose write may
    /// still land. Call it every second or so. Returns how many are left.
    std::size_t settle()
    {
        std::vector<claim_grant> due;
        {
            const std::scoped_lock lock{this->mutex};
            due.swap(this->unsettled);
        }
        std::vector<claim_grant> left;
        for (auto& grant : due) {
            if (!this->write_end(grant)) {
                left.push_back(std::move(grant));
            }
        }
        const std::scoped_lock lock{this->mutex};
        this->unsettled.insert(this->unsettled.end(), left.begin(), left.end());
        return this->unsettled.size();
    }

private:
    static table_row first_row(const commit_outcome& outcome)
    {
        return outcome.current.empty() ? table_row{} : outcome.current.front();
    }

    bool is_expired(const claim_key& key) const
    {
        const auto born = uuid_v7_time(key.idempotency_key);
        return born > time_ms{} && this->wall_clock.now() - born > this->settings.retention;
    }

    claim_record new_record(const std::string& body_digest)
    {
        const std::scoped_lock lock{this->mutex};
        return {claim_state::dispatched, this->owner, draw_token(this->random), body_digest,
                this->wall_clock.now(),  {}};
    }

    commit_outcome write(const std::string& key, std::uint64_t expected, const claim_record& record)
    {
        const std::array<table_write, 1> writes{table_write{key, expected, encode_claim(record)}};
        return this->table.commit(writes);
    }

    claim_decision granted(claim_grant grant, std::uint64_t version)
    {
        grant.version = version;
        const std::scoped_lock lock{this->mutex};
        this->running.insert(grant.record.token);
        return {claim_verdict::granted, std::move(grant), {}};
    }

    /// Judges a repeat by the row that it met.
    claim_decision judge(const claim_record& found, const std::string& body_digest)
    {
        if (!found.body_digest.empty() && found.body_digest != body_digest) {
            return {claim_verdict::body_conflict, {}, {}};
        }
        if (found.state == claim_state::done) {
            return {claim_verdict::replay, {}, found.answer};
        }
        if (found.state == claim_state::unknown) {
            return {claim_verdict::outcome_unknown, {}, {}};
        }
        if (found.owner == this->owner) {
            return this->judge_own(found);
        }
        const bool is_alive = this->alive(found.owner);
        return {is_alive ? claim_verdict::running : claim_verdict::outcome_unknown, {}, {}};
    }

    claim_decision judge_own(const claim_record& found)
    {
        const std::scoped_lock lock{this->mutex};
        if (this->running.contains(found.token)) {
            return {claim_verdict::running, {}, {}};
        }
        for (const auto& grant : this->unsettled) {
            if (grant.record.token == found.token && grant.record.state == claim_state::done) {
                return {claim_verdict::replay, {}, grant.record.answer};
            }
        }
        return {claim_verdict::outcome_unknown, {}, {}};
    }

    void end(claim_grant grant, claim_state state, stored_answer answer)
    {
        grant.record.state = state;
        grant.record.answer = std::move(answer);
        if (!this->write_end(grant)) {
            const std::scoped_lock lock{this->mutex};
            this->unsettled.push_back(grant);
        }
        const std::scoped_lock lock{this->mutex};
        this->running.erase(grant.record.token);
    }

    /// A claim whose write may land late is overtaken by a row that says "released".
    void remember_abandoned(claim_grant grant)
    {
        grant.record.state = claim_state::released;
        const std::scoped_lock lock{this->mutex};
        this->unsettled.push_back(std::move(grant));
    }

    /// True when nothing is left to write.
    bool write_end(claim_grant& grant)
    {
        const auto outcome = this->write(grant.row_key, grant.version, grant.record);
        if (outcome.state == commit_state::applied) {
            return true;
        }
        if (outcome.state != commit_state::conflict) {
            return false;
        }
        const auto existing = first_row(outcome);
        const auto found = decode_claim(existing.value);
        const bool is_ours = existing.version != 0 && found.token == grant.record.token;
        const bool is_written = found.state == grant.record.state;
        if (existing.version != 0 && (!is_ours || is_written)) {
            return true;
        }
        grant.version = existing.version;
        return false;
    }

    Table& table;
    const Clock& wall_clock;
    Random random;
    std::string owner;
    owner_alive alive;
    claim_settings settings;
    std::mutex mutex; ///< Guards `random`, `running` and `unsettled`.
    std::set<std::string> running;
    std::vector<claim_grant> unsettled;
};

} // namespace coriander
