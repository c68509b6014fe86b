#include "gateway/relay_events.hpp"
#include "gateway/relay_session.hpp"

#include <utility>

// Moves of requests from targets that are still working on them.
namespace coriander {

void relay_session::fail_over(const char* reason)
{
    if (this->has_ended || !this->current.is_open) {
        return;
    }
    if (this->held && this->held->has_received()) {
        this->end_attempt(attempt_end::lost, reason);
        return;
    }
    if (!this->may_move()) {
        return;
    }
    const auto now = this->context.clock.now();
    auto others = this->tried_targets;
    others.push_back(this->current.choice.target.id);
    const auto next = this->choose_target(others, false);
    if (!next) {
        this->log_stay("no_target");
        return;
    }
    if (const auto limit = this->state->board.limit_of(next->target.id, now)) {
        this->move_with_permit(*next, *limit, reason);
        return;
    }
    this->move_to(*next, reason);
}

bool relay_session::may_move()
{
    auto after = this->state_after(attempt_end::lost);
    after.is_retry_allowed = this->may_retry(after, this->tried_targets.size() + 1);
    const auto step = decide_next(after);
    if (step != next_step::try_again && step != next_step::resume) {
        this->log_stay("not_repeatable");
        return false;
    }
    if (!this->state->retries.has_retry(this->context.clock.now(), this->context.daemons)) {
        this->log_stay("no_retry");
        return false;
    }
    return true;
}

void relay_session::log_stay(const char* why)
{
    if (std::exchange(this->current.stays_because, why) != why) {
        log_request_kept(this->request, this->current.choice.target, why);
    }
}

void relay_session::move_with_permit(const target_choice& choice, const rate_limit& limit, const char* reason)
{
    if (std::exchange(this->is_asking_to_move, true)) {
        return;
    }
    this->context.request_permit(limit, [weak = this->weak_from_this(), choice, reason,
                                         moved = this->current.trial](permit_decision decision) {
        const auto session = weak.lock();
        if (!session) {
            return;
        }
        session->is_asking_to_move = false;
        if (!session->has_ended && session->current.is_open && session->current.trial == moved) {
            session->on_move_permit(choice, decision, reason);
        }
    });
}

void relay_session::on_move_permit(const target_choice& choice, permit_decision decision, const char* reason)
{
    log_permit(this->request, choice, decision);
    if (!decision.is_granted) {
        this->state->board.defer(choice.target.id, this->context.clock.now() + decision.wait);
        this->log_stay("no_permit");
        return;
    }
    if (!this->state->board.may_send(choice.target, this->context.clock.now())) {
        this->log_stay("no_target");
        return;
    }
    if (this->may_move()) {
        this->move_to(choice, reason);
    }
}

void relay_session::move_to(const target_choice& choice, const char* reason)
{
    if (!this->state->retries.try_retry(this->context.clock.now(), this->context.daemons)) {
        this->log_stay("no_retry");
        return;
    }
    if (this->held) {
        this->reserved = choice;
        this->end_attempt(attempt_end::lost, reason);
        return;
    }
    this->hold_attempt(reason);
    this->context.counters.add("coriander_retries_total", "service=\"" + this->request.service + "\"");
    this->dispatch(choice);
}

void relay_session::hold_attempt(const char* reason)
{
    const auto after = this->state_after(attempt_end::lost);
    this->log_end(attempt_end::lost, reason,
                  after.response_started ? next_step::resume : next_step::try_again);
    this->last_end = after;
    this->attempts_sent = after.attempts_sent;
    this->may_have_run = after.may_have_run;
    const auto id = this->current.choice.target.id;
    if (!std::exchange(this->current.is_counted, true)) {
        this->tried_targets.push_back(id);
    }
    this->leave_target(id);
    // The target's silence says nothing while it isn't read.
    this->state->board.on_ended(id, this->current.has_begun, true, this->context.clock.now());
    this->state->held.insert(id);
    this->held = std::make_unique<held_attempt>();
    this->held->partial = this->stream.suspend_attempt();
    this->held->left = std::exchange(this->current, attempt{});
    this->held->left.channel->redirect(*this->held);
    this->held->left.channel->pause_reading();
}

void relay_session::forget_held(const std::string& target)
{
    const auto counted = this->state->held.find(target);
    if (counted != this->state->held.end()) {
        this->state->held.erase(counted);
    }
}

void relay_session::drop_held()
{
    if (!this->held) {
        return;
    }
    const auto dropped = std::move(this->held);
    auto& left = dropped->left;
    this->give_place_back(left);
    this->forget_held(left.choice.target.id);
    left.channel->close();
    this->context.buffered_bytes -= left.body.size();
    this->context.trials.on_broken_off(left.trial, this->context.clock.now());
}

void relay_session::go_back()
{
    const auto keep_alive = this->shared_from_this();
    const auto resumed = std::move(this->held);
    this->release_buffer();
    this->current = std::move(resumed->left);
    const auto& target = this->current.choice.target.id;
    this->forget_held(target);
    this->state->sessions[target].insert(this);
    this->state->board.on_sent(target, this->context.clock.now());
    if (this->current.has_begun) {
        this->state->board.on_response_started(target, this->context.clock.now());
    }
    const auto channel = this->current.channel;
    channel->redirect(*this);
    const auto is_open = [&] { return this->current.is_open && this->current.channel == channel; };
    if (!resumed->partial.empty()) {
        this->stream.pass(resumed->partial, this->current.head, this->context.clock.now());
    }
    if (resumed->head) {
        this->on_response_head(std::move(*resumed->head));
    }
    if (is_open() && !resumed->body.empty()) {
        this->on_response_body(resumed->body);
    }
    if (is_open() && resumed->end) {
        this->on_exchange_end(*resumed->end);
    }
    if (is_open()) {
        channel->resume_reading();
    }
}

} // namespace coriander
