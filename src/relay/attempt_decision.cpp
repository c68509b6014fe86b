#include "coriander/relay/attempt_decision.hpp"

namespace coriander {
namespace {

/// Whether the request can safely be run again.
bool may_repeat(const attempt_state& state)
{
    const bool has_not_run = state.end == attempt_end::not_sent || state.end == attempt_end::declined;
    return state.kind != repetition::non_idempotent || (has_not_run && !state.may_have_run);
}

bool may_try_again(const attempt_state& state)
{
    return state.is_retry_allowed && state.end != attempt_end::timed_out &&
           state.attempts_sent < state.max_attempts && may_repeat(state);
}

} // namespace

next_step decide_next(const attempt_state& state)
{
    if (state.response_started) {
        const bool can_resume = state.kind == repetition::resumable && may_try_again(state);
        return can_resume ? next_step::resume : next_step::break_off;
    }
    if (may_try_again(state)) {
        return next_step::try_again;
    }
    if (state.end == attempt_end::failed) {
        return next_step::pass_failure;
    }
    if (!state.may_have_run) {
        return next_step::refuse;
    }
    return state.end == attempt_end::timed_out ? next_step::report_time_out : next_step::report_unknown;
}

const char* name_of(attempt_end end) noexcept
{
    switch (end) {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::declined:
        return "declined";
    case attempt_end::failed:
        return "failed";
    case attempt_end::lost:
        return "lost";
    case attempt_end::timed_out:
        return "timed_out";
    }
    return "unknown";
}

const char* name_of(next_step step) noexcept
{
    switch (step) {
    case next_step::try_again:
        return "try_again";
    case next_step::resume:
        return "resume";
    case next_step::go_back:
        return "go_back";
    case next_step::refuse:
        return "refuse";
    case next_step::pass_failure:
        return "pass_failure";
    case next_step::report_unknown:
        return "report_unknown";
    case next_step::report_time_out:
        return "report_time_out";
    case next_step::break_off:
        return "break_off";
    }
    return "unknown";
}

} // namespace coriander
