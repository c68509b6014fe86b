#include "coriander/relay/attempt_decision.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

attempt_state state_of(attempt_end end, repetition kind)
{
    attempt_state state;
    state.end = end;
    state.kind = kind;
    state.attempts_sent = end == attempt_end::not_sent ? 0 : 1;
    state.max_attempts = 2;
    state.may_have_run =
        end == attempt_end::failed || end == attempt_end::lost || end == attempt_end::timed_out;
    state.is_retry_allowed = true;
    return state;
}

} // namespace

TEST_CASE("attempt decision: the next step after a first attempt, by outcome and retry safety")
{
    struct row {
        attempt_end end;
        repetition kind;
        next_step expected;
    };
    const auto sample =
        GENERATE(row{attempt_end::not_sent, repetition::non_idempotent, next_step::try_again},
                 row{attempt_end::declined, repetition::non_idempotent, next_step::try_again},
                 row{attempt_end::failed, repetition::non_idempotent, next_step::pass_failure},
                 row{attempt_end::lost, repetition::non_idempotent, next_step::report_unknown},
                 row{attempt_end::timed_out, repetition::non_idempotent, next_step::report_time_out},
                 row{attempt_end::failed, repetition::idempotent, next_step::try_again},
                 row{attempt_end::lost, repetition::idempotent, next_step::try_again},
                 row{attempt_end::timed_out, repetition::idempotent, next_step::report_time_out},
                 row{attempt_end::lost, repetition::resumable, next_step::try_again});
    CAPTURE(name_of(sample.end), static_cast<int>(sample.kind));
    CHECK(std::string{name_of(decide_next(state_of(sample.end, sample.kind)))} == name_of(sample.expected));
}

TEST_CASE("attempt decision: a started stream is resumed on another target or aborted")
{
    auto state = state_of(attempt_end::lost, repetition::resumable);
    state.response_started = true;
    CHECK(decide_next(state) == next_step::resume);
    state.is_retry_allowed = false;
    CHECK(decide_next(state) == next_step::break_off);
    state = state_of(attempt_end::lost, repetition::non_idempotent);
    state.response_started = true;
    CHECK(decide_next(state) == next_step::break_off);
}

TEST_CASE("attempt decision: the maximum number of attempts is not exceeded")
{
    auto state = state_of(attempt_end::declined, repetition::idempotent);
    state.attempts_sent = 2;
    CHECK(decide_next(state) == next_step::refuse);
    state = state_of(attempt_end::lost, repetition::idempotent);
    state.attempts_sent = 2;
    CHECK(decide_next(state) == next_step::report_unknown);
}

TEST_CASE("attempt decision: a request is reported as not run only if it cannot have run")
{
    rc::prop("any state", [](bool has_started, bool has_run_before, bool is_allowed) {
        attempt_state state;
        state.end = *rc::gen::element(attempt_end::not_sent, attempt_end::declined, attempt_end::failed,
                                      attempt_end::lost, attempt_end::timed_out);
        state.kind =
            *rc::gen::element(repetition::idempotent, repetition::non_idempotent, repetition::resumable);
        state.attempts_sent = *rc::gen::inRange(0U, 4U);
        state.max_attempts = *rc::gen::inRange(1U, 4U);
        const bool has_run_now = state.end != attempt_end::not_sent && state.end != attempt_end::declined;
        state.may_have_run = has_run_before || has_run_now;
        state.response_started = has_started;
        state.is_retry_allowed = is_allowed;
        const auto step = decide_next(state);
        if (step == next_step::refuse) {
            RC_ASSERT(!state.may_have_run);
        }
        if (step == next_step::try_again || step == next_step::resume) {
            RC_ASSERT(is_allowed);
            RC_ASSERT(state.attempts_sent < state.max_attempts);
            RC_ASSERT(state.kind != repetition::non_idempotent || !state.may_have_run);
        }
        if (has_started) {
            RC_ASSERT(step == next_step::resume || step == next_step::break_off);
        }
    });
}

} // namespace coriander
