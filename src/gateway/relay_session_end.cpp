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
    this->give_place_back(this->current);
    const auto& id = this->current.choice.target.id;
    this->leave_target(id);
    this->state->board.on_ended(id, this->current.has_begun, is_failure, this->context.clock.now());
}

void relay_session::leave_target(const std::string& id)
{
    const auto open = this->state->sessions.find(id);
    if (open != this->state->sessions.end()) {
        open->second.erase(this);
        if (open->second.empty()) {
            this->state->sessions.erase(open);
        }
    }
}

attempt_state relay_session::state_after(attempt_end end) const
{
    const bool was_sent = end != attempt_end::not_sent && !this->current.is_counted;
    const bool has_run =
        end == attempt_end::failed || end == attempt_end::lost || end == attempt_end::timed_out;
    attempt_state state;
    state.end = end;
    state.kind = this->request.route->kind;
    state.attempts_sent = this->attempts_sent + (was_sent ? 1 : 0);
    state.max_attempts = this->request.route->max_attempts;
    state.may_have_run = this->may_have_run || has_run;
    state.response_started = this->stream.has_begun();
    return state;
}

bool relay_session::may_retry(const attempt_state& after, std::size_t tried)
{
    return this->request.deadline - this->context.clock.now() > min_attempt_time &&
           tried < max_connect_failures + after.attempts_sent && !this->may_crash_next_target(after);
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
bool relay_session::may_crash_next_target(const attempt_state& after)
{
    // The quarantine is asked last, since its answer may use up a probe.
    return (after.may_have_run && this->context.quarantine.is_suspect(this->request.prints)) ||
           this->check_quarantine() == quarantine_verdict::blocked;
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
    if (!this->current.is_counted) {
        this->tried_targets.push_back(target.id);
    }
    this->stream.end_attempt();
    this->count_held_event();
    const auto state = this->state_after(end);
    this->attempts_sent = state.attempts_sent;
    this->may_have_run = state.may_have_run;
    if (end == attempt_end::timed_out) {
        this->drop_held();
    }
    if (this->held && !this->reserved) {
        this->log_end(end, reason, next_step::go_back);
        this->go_back();
        return;
    }
    this->last_end = state;
    const bool may_be_path = end == attempt_end::not_sent && !target.is_gateway && !this->reserved;
    if (may_be_path) {
        this->check_path_and_continue(reason);
        return;
    }
    this->continue_after(state, reason);
}

void relay_session::check_path_and_continue(const char* reason)
{
    listed_host suspect;
    suspect.id = this->current.choice.target.host;
    suspect.service = this->request.service;
    this->context.check_path(suspect, [weak = this->weak_from_this(), reason](bool /*has_path*/) {
        const auto session = weak.lock();
        if (session && !session->has_ended) {
            session->continue_after(*session->last_end, reason);
        }
    });
}

void relay_session::continue_after(attempt_state state, const char* reason)
{
    const auto now = this->context.clock.now();
    auto next = this->reserved;
    state.is_retry_allowed = next || this->may_retry(state, this->tried_targets.size());
    auto step = decide_next(state);
    if (!next && (step == next_step::try_again || step == next_step::resume)) {
        const bool costs_budget = this->attempts_sent > 0;
        next = this->choose_target(this->tried_targets);
        state.is_retry_allowed =
            next && (!costs_budget || this->state->retries.try_retry(now, this->context.daemons));
        step = decide_next(state);
    }
    this->log_end(state.end, reason, step);
    this->execute(step, next);
}

void relay_session::log_end(attempt_end end, const char* reason, next_step step)
{
    const auto now = this->context.clock.now();
    log_attempt_end(this->request, {this->current.choice.target, end, reason, this->current.head.status,
                                    this->current.was_reused, now - this->current.sent_at,
                                    this->current.has_begun ? now - this->current.begun_at : time_ms{},
                                    this->stream.events(), this->prompt_parts(), step});
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
    case next_step::go_back:
        this->go_back();
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
        this->stream.abort();
        this->finish("broken_off", 0);
        return;
    }
}

void relay_session::send_local_reply(local_reply reply, time_ms retry_after)
{
    const int status = status_of(reply);
    const auto range = std::min(retry_jitter * static_cast<double>(retry_after.count()), max_retry_jitter_ms);
    const time_ms jitter{static_cast<std::int64_t>(range * this->context.draw())};
    auto headers = local_reply_headers(reply, this->request, this->context.dialect, retry_after + jitter);
    this->stream.send_whole(status, std::move(headers), {});
    this->finish(name_of(reply), status);
}

void relay_session::finish(const char* outcome, int status)
{
    this->has_ended = true;
    this->drop_held();
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
    const auto keep_alive = this->shared_from_this();
    if (!this->has_ended && this->current.is_open && this->held && this->held->has_received()) {
        this->end_attempt(attempt_end::lost,
                          "the time limit was reached, and the target that the request has left answered");
    }
    if (this->has_ended) {
        return;
    }
    if (this->current.is_open) {
        this->end_attempt(attempt_end::timed_out, "the time limit was reached");
        return;
    }
    this->end_without_target();
}

void relay_session::abandon_attempt()
{
    this->attempts_sent += this->current.is_open && !this->current.is_counted ? 1 : 0;
    if (this->current.channel) {
        this->current.channel->close();
    }
    this->close_attempt(false);
    this->context.trials.on_broken_off(this->current.trial, this->context.clock.now());
}

void relay_session::end_before_exit()
{
    if (this->has_ended) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    const bool is_sent = this->current.is_open && !this->is_unsent();
    const bool may_have_run = this->may_have_run || is_sent;
    this->abandon_attempt();
    if (this->stream.has_begun()) {
        this->stream.abort();
        this->finish("broken_off", 0);
        return;
    }
    this->send_local_reply(may_have_run ? local_reply::unknown_end : local_reply::stopping,
                           short_retry_delay);
}

void relay_session::on_caller_gone()
{
    if (this->has_ended) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->abandon_attempt();
    log_event(event::caller_gone, {{"request", this->request.attempt_id},
                                   {"after", this->context.clock.now() - this->request.raw.arrived},
                                   {"events", this->stream.events()}});
    this->finish("caller_gone", 0);
}

} // namespace coriander
