#include "gateway/relay_session.hpp"

#include "coriander/replicas/domain_planner.hpp"
#include "gateway/relay_events.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coriander {
namespace {

/// Permits that a request may be denied; after that, only targets without a rate limit are chosen.
constexpr unsigned max_denied_permits = 4;

} // namespace

relay_session::relay_session(relay_context& context, std::shared_ptr<caller_connection> caller,
                             incoming_request request)
    : context{context}, deadline_timer{context.loop}, stream{std::move(caller)}
{
    this->request.raw = std::move(request);
    this->request.routes = context.routes;
}

relay_session::~relay_session()
{
    this->stream.end_attempt();
    this->release_buffer();
    this->give_place_back(this->current);
    this->context.sessions.erase(this);
    if (this->is_counted_as_relayed) {
        --this->context.relayed_requests;
    }
}

void relay_session::start()
{
    this->self = this->shared_from_this();
    this->context.sessions.insert(this);
    this->check_mark();
    auto problem = decode_request(this->request, this->context.dialect, this->context.draw());
    if (problem == local_reply::no_route || problem == local_reply::unknown_key) {
        problem = this->reply_by_doubt(problem);
    }
    if (problem != local_reply::none) {
        this->send_local_reply(problem, short_retry_delay);
        return;
    }
    if (this->stream.has_caller_disconnected()) {
        this->on_caller_gone();
        return;
    }
    if (this->context.rejects_new_requests || this->may_outlast_process()) {
        this->send_local_reply(local_reply::stopping, short_retry_delay);
        return;
    }
    if (this->request.is_relayed) {
        if (this->context.relayed_requests >= relay_context::max_relayed_requests) {
            this->send_local_reply(local_reply::relay_limit, short_retry_delay);
            return;
        }
        this->is_counted_as_relayed = true;
        ++this->context.relayed_requests;
    }
    this->context.has_traffic = true;
    this->stream.resume_after(this->request.last_event);
    this->stream.on_disconnected([weak = this->weak_from_this()] {
        if (const auto session = weak.lock()) {
            session->on_caller_gone();
        }
    });
    const auto left = this->request.deadline - this->context.clock.now();
    this->deadline_timer.expires_after(std::chrono::milliseconds{std::max<std::int64_t>(0, left.count())});
    this->deadline_timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
        if (const auto session = weak.lock(); session && !cancelled) {
            session->on_deadline();
        }
    });
    this->admit();
}

local_reply relay_session::reply_by_doubt(local_reply problem) const
{
    const auto now = this->context.clock.now();
    const auto version = this->request.routes->manifest().version;
    const auto cause = this->context.doubt.cause(version, now);
    if (cause == manifest_doubt_cause::none) {
        return problem;
    }
    log_doubt(this->request, problem, version, cause, this->context.doubt.age(cause, now));
    return local_reply::outdated;
}

bool relay_session::may_outlast_process() const
{
    const auto& exits_at = this->context.exits_at;
    return exits_at && this->request.route->kind == repetition::non_idempotent &&
           this->request.deadline > *exits_at;
}

void relay_session::admit()
{
    const auto now = this->context.clock.now();
    this->state = &this->context.service(this->request.service);
    if (this->check_quarantine() == quarantine_verdict::blocked) {
        this->refuse_quarantined();
        return;
    }
    if (this->context.is_cut(this->request.service) && this->relay_or_refuse()) {
        return;
    }
    this->state->retries.on_request(now);
    auto& meter = this->state->meters[this->request.model];
    meter.on_request(this->request.prompt_tokens, now);
    const auto* service = this->request.routes->find_service(this->request.service);
    if (service->engine) {
        this->size_class = meter.classify(this->request.prompt_tokens + this->request.max_answer_tokens);
    }
    this->try_admit();
}

void relay_session::try_admit()
{
    const auto now = this->context.clock.now();
    const auto* service = this->request.routes->find_service(this->request.service);
    auto& meter = this->state->meters[this->request.model];
    const auto best = this->choose_target(this->tried_targets);
    const auto load = this->context.fleet_load(this->request.service, this->request.model, meter);
    const auto* model = find_model(*service, this->request.model);
    const auto targets = this->state->board.count(model == nullptr ? std::string_view{} : model->name, now);
    admission_input input{best, expected_duration(load, *service, model),
                          this->request.route->latency_objective, this->request.deadline - now,
                          meter.refused_share(now)};
    if (model != nullptr) {
        const double needed = replicas_for(*service->engine, *model, load);
        const bool is_shortage_known = !best || !best->is_silent;
        if (needed > 0.0 && is_shortage_known) {
            const double full_rate = load.requests_per_s / needed;
            input.supply = this->state->board.capacity(model->name, full_rate, now) / needed;
        }
        input.draw = this->context.draw();
    }
    const bool is_kept = best && this->needs_place(*best);
    const auto advice = is_kept ? admission_decision{true, {}, {}} : forecast_admission(input);
    if (!advice.is_admitted) {
        meter.on_refused(now);
        const auto pause = best ? time_ms{} : this->pause_left();
        const bool is_paused = pause > time_ms{};
        const bool has_full_targets = this->context.keeps_places && model != nullptr && targets > 0;
        const bool has_target = best || this->denied_permits > 0 || has_full_targets;
        const auto reply = is_paused    ? local_reply::paused
                           : has_target ? local_reply::overloaded
                                        : local_reply::no_target;
        const auto wait = is_paused ? pause : advice.retry_after;
        log_refusal(this->request, reply, best, {advice.predicted_wait, wait, targets, input.supply});
        this->send_local_reply(reply, std::max(this->permit_wait, wait));
        return;
    }
    this->send_to(*best);
}

void relay_session::send_to(const target_choice& choice)
{
    const auto limit = this->state->board.limit_of(choice.target.id, this->context.clock.now());
    if (!limit && this->needs_place(choice)) {
        this->ask_for_place(choice);
        return;
    }
    if (!limit) {
        this->dispatch(choice);
        return;
    }
    this->context.request_permit(*limit, [weak = this->weak_from_this(), choice](permit_decision decision) {
        if (const auto session = weak.lock()) {
            session->on_permit(choice, decision);
        }
    });
}

void relay_session::on_permit(const target_choice& choice, permit_decision decision)
{
    if (this->has_ended) {
        return;
    }
    const auto now = this->context.clock.now();
    log_permit(this->request, choice, decision);
    if (this->request.deadline <= now) {
        this->end_without_target();
        return;
    }
    if (decision.is_granted) {
        this->dispatch(choice);
        return;
    }
    this->state->board.defer(choice.target.id, now + decision.wait);
    this->permit_wait =
        this->denied_permits++ == 0 ? decision.wait : std::min(this->permit_wait, decision.wait);
    this->choose_again();
}

void relay_session::choose_again()
{
    if (!this->last_end) {
        this->try_admit();
        return;
    }
    if (const auto next = this->choose_target(this->tried_targets)) {
        this->send_to(*next);
        return;
    }
    this->end_without_target();
}

void relay_session::end_without_target()
{
    const auto keep_alive = this->shared_from_this();
    if (this->held) {
        this->go_back();
        if (this->request.deadline <= this->context.clock.now()) {
            this->on_deadline();
        }
        return;
    }
    if (!this->last_end) {
        this->send_local_reply(local_reply::overloaded, this->permit_wait);
        return;
    }
    this->last_end->is_retry_allowed = false;
    this->execute(decide_next(*this->last_end), std::nullopt);
}

std::string_view relay_session::target_model() const
{
    const auto* service = this->request.routes->find_service(this->request.service);
    return service->engine ? std::string_view{this->request.model} : std::string_view{};
}

time_ms relay_session::pause_left() const
{
    const auto now = this->context.clock.now();
    const auto end = this->state->board.end_of_pauses(this->target_model(), now);
    return end ? *end - now : time_ms{};
}

bool relay_session::can_wait_for_silent_target() const
{
    return this->request.route->kind != repetition::non_idempotent &&
           this->request.deadline - this->context.clock.now() > max_sound_silence;
}

std::optional<target_choice> relay_session::choose_target(std::span<const std::string> excluded,
                                                          bool includes_silent)
{
    if (this->context.is_cut(this->request.service)) {
        auto gateway = this->choose_gateway(excluded);
        if (gateway || this->request.is_relayed) {
            return gateway;
        }
    }
    const bool excludes_limited = this->denied_permits >= max_denied_permits;
    return this->state->board.choose({this->target_model(), this->context.failure_domain, excluded,
                                      this->context.daemons, excludes_limited,
                                      includes_silent && this->can_wait_for_silent_target()},
                                     this->context.draw(), this->context.clock.now());
}

void relay_session::dispatch(const target_choice& choice)
{
    const auto now = this->context.clock.now();
    const bool may_send = choice.target.is_gateway || this->state->board.may_send(choice.target, now);
    if (!may_send) {
        log_redirect(this->request, choice);
        this->give_next_place_back();
        this->choose_again();
        return;
    }
    this->release_buffer();
    this->current = {};
    this->current.place = std::exchange(this->next_place, std::nullopt);
    this->current.choice = choice;
    this->current.is_open = true;
    this->current.sent_at = now;
    this->current.events_before = this->stream.events();
    const auto& target = choice.target;
    log_choice(this->request, choice, this->attempts_sent + 1, this->stream.last_event());
    if (!target.is_gateway) {
        this->current.trial = this->context.trials.begin(target.host, this->request.prints);
        this->state->board.on_sent(target.id, now);
        this->state->sessions[target.id].insert(this);
    }
    // A pooled connection may have been closed without notice, so requests that must not be repeated get a
    // new one.
    const bool is_fresh = this->request.route->kind == repetition::non_idempotent;
    this->current.channel =
        this->context.channels.acquire(target.address, is_fresh, &this->current.was_reused);
    if (!this->current.channel) {
        this->end_attempt(attempt_end::not_sent, "invalid target address");
        return;
    }
    this->current.channel->send(this->request_text(choice), *this, this->request.raw.head.method == "HEAD");
}

std::string relay_session::request_text(const target_choice& choice) const
{
    const auto& dialect = this->context.dialect;
    const bool is_relayed = choice.target.is_gateway;
    const auto left = this->request.deadline - this->context.clock.now();
    const auto deadline_ms = std::to_string(std::max<std::int64_t>(1, left.count()));
    auto headers = is_relayed ? relayed_headers(this->request, dialect, this->mark_for(choice, deadline_ms))
                              : forwarded_headers(this->request, dialect);
    headers.push_back({dialect.deadline_ms, deadline_ms});
    if (!is_relayed) {
        headers.push_back({dialect.expected_host, choice.target.host});
    }
    if (const auto last = this->stream.last_event()) {
        headers.push_back({dialect.last_event_id, std::to_string(*last)});
    }
    const auto& head = this->request.raw.head;
    return request_head_text(head.method, head.target, headers) + this->request.raw.body;
}

} // namespace coriander
