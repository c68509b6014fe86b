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
        return {503, "no_target", "no target of the service can take the request now"};
    case refusal_reason::queue_full:
        return {429, "queue_full", "too many requests of this customer wait already"};
    case refusal_reason::wait_too_long:
        return {503, "overloaded", "the request's turn would come too late"};
    case refusal_reason::poisonous:
        return {422, "poisonous", "targets died whenever they ran this request alone"};
    case refusal_reason::expired:
        return {503, "overloaded", "the request's turn did not come in time"};
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
        return {409, "running", run_state::unknown, "a request with this key is running",
                running_request_retry_after};
    case claim_verdict::body_conflict:
        return {422, "key_reused", run_state::not_run, "this key was used with another body", {}};
    case claim_verdict::key_expired:
        return {409, "key_expired", run_state::unknown, "this key is older than answers are kept", {}};
    case claim_verdict::store_down:
        return {503, "store_down", run_state::not_run, "the request could not be made safe to run once",
                store_down_retry_after};
    default:
        return {409,
                "outcome_unknown",
                run_state::unknown,
                "a request with this key was sent; its end is not known",
                {}};
    }
}

caller_error starting_error()
{
    return {503, "starting", run_state::not_run, "this entry host has only just started; use another one",
            1_s};
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
