#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>

namespace coriander {

/// Identifies one non-repeatable request. Keys are scoped by customer.
struct claim_key {
    std::string customer;
    std::string idempotency_key;
};

/// State of a claimed request, as stored in the table.
enum class claim_state {
    dispatched, ///< May have been sent to a target.
    done,       ///< Ended; the answer is stored.
    released,   ///< Never sent; the key can be claimed again.
    unknown,    ///< Sent, with an unknown outcome.
};

/// The answer stored for repeats of the request.
struct stored_answer {
    int status = 0;
    std::string content_type;
    std::string body;
};

/// Content of a claim's row.
struct claim_record {
    claim_state state = claim_state::dispatched;
    std::string owner;       ///< The claiming router, with its incarnation.
    std::string token;       ///< Unique to each call that tries to claim the key.
    std::string body_digest; ///< Detects reuse of the key with another body.
    time_ms created;         ///< Wall clock time.
    stored_answer answer;    ///< Set when `done`.
};

/// Permission to send one request once.
struct claim_grant {
    std::string row_key;
    claim_record record;
    std::uint64_t version = 0;
};

/// How a request with an idempotency key is handled.
enum class claim_verdict {
    granted,         ///< Send it; no other router will.
    replay,          ///< It has run; reply with the stored answer.
    running,         ///< In progress at an owner that is alive.
    outcome_unknown, ///< It may have run, and its outcome can't be determined.
    body_conflict,   ///< The key was already used with another body.
    key_expired,     ///< The key is older than the retention period of answers.
    store_down,      ///< Not sent, since the claim could not be stored.
};

/// A verdict with its data: `grant` is set for `granted`, `answer` for `replay`.
struct claim_decision {
    claim_verdict verdict = claim_verdict::store_down;
    claim_grant grant;
    stored_answer answer;
};

/// The table key of a claim's row.
[[nodiscard]] std::string claim_row_key(const claim_key& key);

/// Converts a claim's row to and from JSON text. `decode_claim` returns a record in state `unknown` for text
/// that is not a valid claim, since the request of an unreadable claim may have run.
[[nodiscard]] std::string encode_claim(const claim_record& record);
[[nodiscard]] claim_record decode_claim(const std::string& text);

/// The timestamp of a version 7 UUID, in milliseconds since 1970; zero for any other key.
[[nodiscard]] time_ms uuid_v7_time(const std::string& key);

} // namespace coriander
