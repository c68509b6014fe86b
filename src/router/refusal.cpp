#include "router/refusal.hpp"

namespace coriander {
namespace {

constexpr time_ms store_down_retry_after = 2_s;
constexpr time_ms running_request_retry_after = 1_s;

struct refusal_text {
    int status;
    const char* type;
    const char* message;
};

refusal_text text_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_target:
        return {503, "no_target", "no target of the service is available"};
    case refusal_reason::queue_full:
        return {429, "queue_full", "too many requests of this customer are queued"};
    case refusal_reason::wait_too_long:
        return {503, "overloaded", "the estimated queueing time exceeds the limit"};
    case refusal_reason::poisonous:
        return {422, "poisonous", "targets died each time they ran this request alone"};
    case refusal_reason::expired:
        return {503, "overloaded", "the request timed out in the queue"};
    }
    return {503, "overloaded", "the request can't be run now"};
}

} // namespace

caller_error error_for(refusal_reason reason, time_ms retry_after)
{
    const auto text = text_of(reason);
    return {text.status, text.type, run_state::not_run, text.message, retry_after};
}

caller_error error_for(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::running:
        return {409, "running", run_state::unknown, "a request with this key is still running",
                running_request_retry_after};
    case claim_verdict::body_conflict:
        return {422,
                "key_reused",
                run_state::not_run,
                "this key was already used with a different request body",
                {}};
    case claim_verdict::key_expired:
        return {409,
                "key_expired",
                run_state::unknown,
                "this key is older than the retention period of answers",
                {}};
    case claim_verdict::store_down:
        return {503, "store_down", run_state::not_run,
                "the idempotency key could not be stored, so the request was not sent",
                store_down_retry_after};
    default:
        return {409,
                "outcome_unknown",
                run_state::unknown,
                "a request with this key was sent; its outcome is unknown",
                {}};
    }
}

caller_error starting_error()
{
    return {503, "starting", run_state::not_run, "this entry host is still starting; use another one", 1_s};
}

const char* name_of(claim_verdict verdict) noexcept
{
    switch (verdict) {
    case claim_verdict::granted:
        return "granted";
    case claim_verdict::replay:
        return "replay";
    case claim_verdict::running:
        return "running";
    case claim_verdict::outcome_unknown:
        return "outcome_unknown";
    case claim_verdict::body_conflict:
        return "body_conflict";
    case claim_verdict::key_expired:
        return "key_expired";
    case claim_verdict::store_down:
        return "store_down";
    }
    return "unknown";
}

} // namespace coriander
