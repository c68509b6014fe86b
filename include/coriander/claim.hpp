#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>

namespace coriander {

/// Names one non-repeatable request. Keys of different customers never meet.
struct claim_key {
    std::string customer;
    std::string idempotency_key;
};

/// How far a claimed request has come, as the table knows it.
enum class claim_state {
    dispatched, ///< May have been sent to a target.
    done,       ///< Ended; the answer is kept.
    released,   ///< Never sent; the key is free again.
    unknown,    ///< Sent, and nobody learnt how it ended.
};

/// The answer kept for repeats.
struct stored_answer {
    int status = 0;
    std::string content_type;
    std::string body;
};

/// The claim's row.
struct claim_record {
    claim_state state = claim_state::dispatched;
    std::string owner;       ///< The router and its incarnation.
    std::string token;       ///< Unique for each attempt to claim.
    std::string body_digest; ///< Tells the same key with another body.
    time_ms created;         ///< Wall clock.
    stored_answer answer;    ///< Set when `done`.
};

/// The right to send one request once.
struct claim_grant {
    std::string row_key;
    claim_record record;
    std::uint64_t version = 0;
};

/// What becomes of a request that carries an idempotency key.
enum class claim_verdict {
    granted,         ///< Send it: nobody else will.
    replay,          ///< It ran: give the kept answer.
    running,         ///< Its owner is alive and has not ended it.
    outcome_unknown, ///< It may have run; nobody can say.
    body_conflict,   ///< The key was used with another body.
    key_expired,     ///< The key is older than answers are kept.
    store_down,      ///< Not sent: the claim could not be made durable.
};

/// A verdict with what belongs to it: `grant` for `granted`, `answer` for `replay`.
struct claim_decision {
    claim_verdict verdict = claim_verdict::store_down;
    claim_grant grant;
    stored_answer answer;
};

/// The table key of a claim's row.
[[nodiscard]] std::string claim_row_key(const claim_key& key);

/// JSON text of a claim's row, and back. `decode_claim` gives a record in state `unknown` for a text that is
/// not a claim, since an unreadable claim may have run.
[[nodiscard]] std::string encode_claim(const claim_record& record);
[[nodiscard]] claim_record decode_claim(const std::string& text);

/// The time that a version 7 UUID carries, in milliseconds since 1970; zero for any other key.
[[nodiscard]] time_ms uuid_v7_time(const std::string& key);

} // namespace coriander
