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

/// Settings for claims.
struct claim_settings {
    int commit_attempts = 3;                   ///< Commit attempts per claim before the store counts as down.
    time_ms retention{7LL * 24 * 3600 * 1000}; ///< Maximum age of a key.
};

/// Ensures that a non-repeatable request runs at most once over all routers.
///
/// A claim is one row, inserted only if absent, before the first byte is sent to a target. The row's state is
/// "dispatched" from the start, so every router that reads it must assume that the owner is sending or has
/// sent the request. No lease or timeout is involved: an owner that pauses and resumes is still the only
/// sender.
///
/// Thread-safe. No lock is held during calls to the table.
template <table_store Table, clock_source Clock, random_source Random>
class claim_ledger {
public:
    /// Returns whether the router with this name and incarnation is known to be alive.
    using owner_alive = std::function<bool(const std::string& owner)>;

    claim_ledger(Table& table, const Clock& wall_clock, Random random, std::string owner, owner_alive alive,
                 claim_settings settings = {})
        : table{table}, wall_clock{wall_clock}, random{std::move(random)}, owner{std::move(owner)},
          alive{std::move(alive)}, settings{settings}
    {
    }

    /// Claims the key, or returns why the request must not be sent. Blocks during calls to the table. After
    /// `store_down` the request must not be sent; if the claim may still be committed, `settle` releases it
    /// so that the key does not stay blocked.
    [[nodiscard]] claim_decision begin(const claim_key& key, const std::string& body_digest)
    {
        if (this->is_expired(key)) {
            return {claim_verdict::key_expired, {}, {}};
        }
        claim_grant grant{claim_row_key(key), this->new_record(body_digest), 0};
        std::uint64_t expected = 0;
        bool may_commit_later = false;
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
                    return this->decide_repeat(found, body_digest);
                }
                expected = existing.version;
            }
            may_commit_later = may_commit_later || outcome.state == commit_state::unknown;
        }
        if (may_commit_later) {
            grant.version = expected; // The version that a late commit would replace.
            this->schedule_release(grant);
        }
        return {claim_verdict::store_down, {}, {}};
    }

    /// Stores the answer of a request that ended. If the table can't be written now, `settle` writes it
    /// later; until then, repeats at this router already get the answer.
    void complete(const claim_grant& grant, stored_answer answer)
    {
        this->end(grant, claim_state::done, std::move(answer));
    }

    /// Records that the request was sent and that its outcome will not become known.
    void mark_unknown(const claim_grant& grant) { this->end(grant, claim_state::unknown, {}); }

    /// Releases the key of a request that was granted and certainly not sent.
    void release(const claim_grant& grant) { this->end(grant, claim_state::released, {}); }

    /// Retries the writes that failed: ends of requests, and releases of claims that may still be committed.
    /// Call it about once per second. Returns the number of pending writes.
    std::size_t settle()
    {
        std::vector<claim_grant> pending;
        {
            const std::scoped_lock lock{this->mutex};
            pending.swap(this->unsettled);
        }
        std::vector<claim_grant> failed;
        for (auto& grant : pending) {
            if (!this->write_final_state(grant)) {
                failed.push_back(std::move(grant));
            }
        }
        const std::scoped_lock lock{this->mutex};
        this->unsettled.insert(this->unsettled.end(), failed.begin(), failed.end());
        return this->unsettled.size();
    }

private:
    static table_row first_row(const commit_outcome& outcome)
    {
        return outcome.current.empty() ? table_row{} : outcome.current.front();
    }

    bool is_expired(const claim_key& key) const
    {
        const auto created = uuid_v7_time(key.idempotency_key);
        return created > time_ms{} && this->wall_clock.now() - created > this->settings.retention;
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

    /// Decides how to handle a repeat, given the existing row.
    claim_decision decide_repeat(const claim_record& found, const std::string& body_digest)
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
            return this->decide_own_repeat(found);
        }
        const bool is_alive = this->alive(found.owner);
        return {is_alive ? claim_verdict::running : claim_verdict::outcome_unknown, {}, {}};
    }

    claim_decision decide_own_repeat(const claim_record& found)
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
        if (!this->write_final_state(grant)) {
            const std::scoped_lock lock{this->mutex};
            this->unsettled.push_back(grant);
        }
        const std::scoped_lock lock{this->mutex};
        this->running.erase(grant.record.token);
    }

    /// Schedules a "released" row for a claim that may still be committed. The row replaces the claim or, if
    /// it is written first, makes the claim's version check fail.
    void schedule_release(claim_grant grant)
    {
        grant.record.state = claim_state::released;
        const std::scoped_lock lock{this->mutex};
        this->unsettled.push_back(std::move(grant));
    }

    /// Writes a claim's final state. Returns true if there is nothing left to write.
    bool write_final_state(claim_grant& grant)
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
