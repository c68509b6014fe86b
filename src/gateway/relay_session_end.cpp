#include "gateway/relay_session.hpp"

#include "gateway/relay_events.hpp"
#include "gateway/target_answer.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <utility>

// Ends of attempts and requests; relay_session.cpp has their start.
namespace coriander {
namespace {

/// No further attempt is started with less time left than this.
constexpr time_ms min_attempt_time = 30_ms;
/// Targets that may fail to connect before the request is rejected.
constexpr std::size_t max_connect_failures = 3;
/// How long a target that declined a request gets no new ones.
constexpr time_ms declined_backoff = 150_ms;
/// Jitter of the retry delay, as a fraction of it, so that callers rejected together don't retry together.
constexpr double retry_jitter = 0.5;
constexpr double max_retry_jitter_ms = 1000.0;

} // namespace

void relay_session::close_attempt(bool is_failure)
{
    if (!this->current.is_open) {
        return;
    }
    this->current.is_open = false;
    const auto& id = this->current.choice.target.id;
    const auto open = this->state->sessions.find(id);
    if (open != this->state->sessions.end()) {
        open->second.erase(this);
        if (open->second.empty()) {
            this->state->sessions.erase(open);
        }
    }
    this->state->board.on_ended(id, this->current.has_begun, is_failure, this->context.clock.now());
}

attempt_state relay_session::record_attempt_end(attempt_end end)
{
    const bool was_sent = end != attempt_end::not_sent;
    const bool has_run =
        end == attempt_end::failed || end == attempt_end::lost || end == attempt_end::timed_out;
    this->attempts_sent += was_sent ? 1 : 0;
    this->may_have_run = this->may_have_run || has_run;
    attempt_state state;
    state.end = end;
    state.kind = this->request.route->kind;
    state.attempts_sent = this->attempts_sent;
    state.max_attempts = this->request.route->max_attempts;
    state.may_have_run = this->may_have_run;
    state.response_started = this->stream.has_begun();
    return state;
}

quarantine_verdict relay_session::check_quarantine()
{
    return this->context.quarantine.classify(this->request.prints, this->context.may_probe_quarantine,
                                             this->context.clock.now());
}

void relay_session::refuse_quarantined()
{
    const auto wait = this->context.quarantine.retry_after(this->request.prints, this->context.clock.now());
    log_quarantined(this->request, this->attempts_sent, wait);
    this->send_local_reply(local_reply::quarantined, wait);
}

/// A request that may have crashed a target is sent to another one only if nothing else speaks against it.
bool relay_session::may_crash_next_target()
{
    return this->check_quarantine() == quarantine_verdict::blocked ||
           (this->may_have_run && this->context.quarantine.is_suspect(this->request.prints));
}

void relay_session::end_if_quarantined()
{
    if (this->has_ended || !this->current.is_open || this->current.has_begun ||
        this->check_quarantine() != quarantine_verdict::blocked) {
        return;
    }
    this->end_attempt(attempt_end::lost, "the request was quarantined while it waited");
}

bool relay_session::is_unsent() const
{
    return this->current.is_open && this->current.channel && !this->current.channel->is_connected();
}

void relay_session::withdraw_if_forbidden()
{
    if (!this->has_ended && this->is_unsent() &&
        !this->state->board.may_send(this->current.choice.target, this->context.clock.now())) {
        this->end_attempt(attempt_end::not_sent, "the target takes no requests now");
    }
}

void relay_session::end_trial(attempt_end end)
{
    if (end == attempt_end::not_sent || end == attempt_end::declined) {
        this->context.trials.discard(this->current.trial);
    }
    else if (end == attempt_end::failed) {
        this->context.trials.on_complete(this->current.trial, this->context.clock.now());
    }
    else {
        this->context.trials.on_broken_off(this->current.trial, this->context.clock.now());
    }
}

void relay_session::end_attempt(attempt_end end, const char* reason)
{
    const auto keep_alive = this->shared_from_this();
    const auto now = this->context.clock.now();
    this->end_trial(end);
    const auto target = this->current.choice.target;
    const bool is_failure = end != attempt_end::timed_out && end != attempt_end::declined;
    if (this->current.channel && end != attempt_end::declined && end != attempt_end::failed) {
        this->current.channel->close();
    }
    this->close_attempt(is_failure);
    if (end == attempt_end::declined) {
        this->state->board.suspend(target.id, suspension::declined, now + declined_backoff);
    }
    this->tried_targets.push_back(target.id);
    this->stream.end_attempt();
    auto state = this->record_attempt_end(end);
    state.is_retry_allowed = this->request.deadline - now > min_attempt_time &&
                             this->tried_targets.size() < max_connect_failures + this->attempts_sent &&
                             !this->may_crash_next_target();
    auto step = decide_next(state);
    this->last_end = state;
    std::optional<target_choice> next;
    if (step == next_step::try_again || step == next_step::resume) {
        const bool costs_budget = this->attempts_sent > 0;
        next = this->reserved ? this->reserved : this->choose_target(this->tried_targets);
        state.is_retry_allowed =
            next && (!costs_budget || this->state->retries.try_retry(now, this->context.daemons));
        step = decide_next(state);
    }
    log_attempt_end(this->request, {target, end, reason, this->current.head.status, this->current.was_reused,
                                    now - this->current.sent_at,
                                    this->current.has_begun ? now - this->current.begun_at : time_ms{},
                                    this->stream.events(), this->prompt_parts(), step});
    this->execute(step, next);
}

void relay_session::execute(next_step step, const std::optional<target_choice>& next)
{
    switch (step) {
    case next_step::try_again:
    case next_step::resume:
        this->context.counters.add("coriander_retries_total", "service=\"" + this->request.service + "\"");
        if (std::exchange(this->reserved, std::nullopt)) {
            this->dispatch(*next);
            return;
        }
        this->send_to(*next);
        return;
    case next_step::refuse:
        if (this->check_quarantine() == quarantine_verdict::blocked) {
            this->refuse_quarantined();
            return;
        }
        this->send_local_reply(local_reply::not_sent, std::max(short_retry_delay, this->pause_left()));
        return;
    case next_step::pass_failure:
        this->forward_response();
        return;
    case next_step::report_unknown:
        this->send_local_reply(local_reply::unknown_end);
        return;
    case next_step::report_time_out:
        this->send_local_reply(local_reply::timed_out);
        return;
    case next_step::break_off:
        this->caller->abort();
        this->finish("broken_off", 0);
        return;
    }
}

void relay_session::fail_over(const char* reason)
{
    if (this->has_ended || !this->current.is_open) {
        return;
    }
    const auto now = this->context.clock.now();
    const auto& route = *this->request.route;
    const bool may_move = route.kind != repetition::non_idempotent &&
                          this->attempts_sent + 1 < route.max_attempts &&
                          this->request.deadline - now > min_attempt_time;
    // Without another target the request keeps waiting: its replica may recover.
    auto others = this->tried_targets;
    others.push_back(this->current.choice.target.id);
    const auto next = may_move && !this->may_crash_next_target() ? this->choose_target(others) : std::nullopt;
    if (!next) {
        return;
    }
    if (const auto limit = this->state->board.limit_of(next->target.id, now)) {
        this->move_with_permit(*next, *limit, reason);
        return;
    }
    this->end_attempt(attempt_end::lost, reason);
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
    if (!this->state->board.may_send(choice.target, this->context.clock.now())) {
        log_redirect(this->request, choice);
        return;
    }
    if (!decision.is_granted) {
        this->state->board.defer(choice.target.id, this->context.clock.now() + decision.wait);
        return;
    }
    this->reserved = choice;
    this->end_attempt(attempt_end::lost, reason);
    this->reserved.reset();
}

void relay_session::send_local_reply(local_reply reply, time_ms retry_after)
{
    const int status = status_of(reply);
    const auto range = std::min(retry_jitter * static_cast<double>(retry_after.count()), max_retry_jitter_ms);
    const time_ms jitter{static_cast<std::int64_t>(range * this->context.draw())};
    auto headers = local_reply_headers(reply, this->request, this->context.dialect, retry_after + jitter);
    this->caller->send(status, std::move(headers), {});
    this->finish(name_of(reply), status);
}

void relay_session::finish(const char* outcome, int status)
{
    this->has_ended = true;
    this->deadline_timer.cancel();
    const auto now = this->context.clock.now();
    const auto took = now - this->request.raw.arrived;
    const auto first =
        this->stream.has_begun() ? this->stream.begun_at() - this->request.raw.arrived : time_ms{};
    if (this->stream.has_begun()) {
        this->context.counters.observe("coriander_first_event_seconds",
                                       "route=\"" + this->request.route->name + "\"", first.seconds());
    }
    log_request_end(this->request,
                    {outcome, status, this->current.choice.target.id, this->attempts_sent,
                     this->stream.events(), first, this->stream.longest_gap(), took, this->prompt_parts(),
                     this->current.choice.total(), this->current.reported_load});
    this->context.counters.add("coriander_requests_total", "outcome=\"" + std::string{outcome} + "\"");
    if (this->size_class != nullptr) {
        this->context.counters.add("coriander_requests_by_size_total",
                                   "route=\"" + this->request.route->name + "\",size=\"" + this->size_class +
                                       "\",outcome=\"" + outcome + "\"");
    }
    this->context.counters.observe("coriander_request_seconds", {}, took.seconds());
    this->self.reset();
}

void relay_session::on_deadline()
{
    if (!this->has_ended && this->current.is_open) {
        this->end_attempt(attempt_end::timed_out, "the time limit was reached");
    }
}

void relay_session::on_caller_gone()
{
    if (this->has_ended) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->attempts_sent += this->current.is_open ? 1 : 0;
    if (this->current.channel) {
        this->current.channel->close();
    }
    this->close_attempt(false);
    this->context.trials.on_broken_off(this->current.trial, this->context.clock.now());
    log_event(event::caller_gone, {{"request", this->request.attempt_id},
                                   {"after", this->context.clock.now() - this->request.raw.arrived},
                                   {"events", this->stream.events()}});
    this->finish("caller_gone", 0);
}

} // namespace coriander
