#include "gateway/relay_session.hpp"

#include "gateway/relay_events.hpp"
#include "gateway/target_answer.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <chrono>

namespace coriander {
namespace {

/// Bytes queued for a slow caller beyond which reading from the target is paused.
constexpr std::size_t max_unsent_bytes = 262144;

/// Permits that a request may be denied; after that, only targets without a rate limit are chosen.
constexpr unsigned max_denied_permits = 4;

constexpr int first_error_status = 500;

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
    this->release_buffer();
    if (this->is_counted) {
        --this->context.open_requests;
    }
}

void relay_session::start()
{
    this->self = this->shared_from_this();
    this->is_counted = true;
    ++this->context.open_requests;
    const auto problem = decode_request(this->request, this->context.dialect, this->context.draw());
    if (problem != local_reply::none) {
        this->send_local_reply(problem, short_retry_delay);
        return;
    }
    if (this->stream.has_caller_disconnected()) {
        this->on_caller_gone();
        return;
    }
    if (this->context.rejects_new_requests) {
        this->send_local_reply(local_reply::stopping, short_retry_delay);
        return;
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

void relay_session::admit()
{
    const auto now = this->context.clock.now();
    this->state = &this->context.service(this->request.service);
    this->state->retries.on_request(now);
    if (this->check_quarantine() == quarantine_verdict::blocked) {
        this->refuse_quarantined();
        return;
    }
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
        if (needed > 0.0) {
            const double full_rate = load.requests_per_s / needed;
            input.supply = this->state->board.capacity(model->name, full_rate, now) / needed;
        }
        input.draw = this->context.draw();
    }
    const auto advice = forecast_admission(input);
    if (!advice.is_admitted) {
        meter.on_refused(now);
        log_refusal(this->request, best, advice, targets, input.supply);
        const bool has_target = best || this->denied_permits > 0;
        this->send_local_reply(has_target ? local_reply::overloaded : local_reply::no_target,
                               std::max(this->permit_wait, advice.retry_after));
        return;
    }
    this->send_to(*best);
}

void relay_session::send_to(const target_choice& choice)
{
    const auto limit = this->state->board.limit_of(choice.target.id, this->context.clock.now());
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
    this->on_permit_denied();
}

void relay_session::on_permit_denied()
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
    if (!this->last_end) {
        this->send_local_reply(local_reply::overloaded, this->permit_wait);
        return;
    }
    this->last_end->is_retry_allowed = false;
    this->execute(decide_next(*this->last_end), std::nullopt);
}

std::optional<target_choice> relay_session::choose_target(std::span<const std::string> excluded)
{
    const auto* service = this->request.routes->find_service(this->request.service);
    const std::string_view model =
        service->engine ? std::string_view{this->request.model} : std::string_view{};
    const bool excludes_limited = this->denied_permits >= max_denied_permits;
    return this->state->board.choose(
        {model, this->context.failure_domain, excluded, this->context.daemons, excludes_limited},
        this->context.draw(), this->context.clock.now());
}

void relay_session::dispatch(const target_choice& choice)
{
    const auto now = this->context.clock.now();
    this->release_buffer();
    this->current = {};
    this->current.choice = choice;
    this->current.is_open = true;
    this->current.sent_at = now;
    this->current.trial = this->context.trials.begin(choice.target.host, this->request.prints);
    this->current.events_before = this->stream.events();
    const auto& target = choice.target;
    log_choice(this->request, choice, this->attempts_sent + 1, this->stream.last_event());
    this->state->board.on_sent(target.id, now);
    this->state->sessions[target.id].insert(this);
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
    auto headers = forwarded_headers(this->request, dialect);
    const auto left = this->request.deadline - this->context.clock.now();
    headers.push_back({dialect.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count()))});
    headers.push_back({dialect.expected_host, choice.target.host});
    if (const auto last = this->stream.last_event()) {
        headers.push_back({dialect.last_event_id, std::to_string(*last)});
    }
    const auto& head = this->request.raw.head;
    return request_head_text(head.method, head.target, headers) + this->request.raw.body;
}

void relay_session::record_load(const message_head& head)
{
    if (const auto load = parse_load(head.header(this->context.dialect.host_load))) {
        this->state->board.on_load(this->current.choice.target.id, load->running, load->waiting,
                                   this->context.clock.now());
        this->current.reported_load = static_cast<double>(load->running) + load->waiting;
        const auto labels = "service=\"" + this->request.service + "\"";
        this->context.counters.add("coriander_load_reports_total", labels);
        this->context.counters.add("coriander_load_told_total", labels, *this->current.reported_load);
        this->context.counters.add("coriander_load_expected_total", labels, this->current.choice.total());
    }
}

void relay_session::on_response_head(message_head head)
{
    this->current.has_begun = true;
    this->current.begun_at = this->context.clock.now();
    this->state->board.on_rate_limit(this->current.choice.target.id,
                                     parse_rate_limit(head.header(this->context.dialect.rate_limit)),
                                     this->current.begun_at);
    this->state->board.on_response_started(this->current.choice.target.id, this->current.begun_at);
    this->context.trials.on_started(this->current.trial, this->current.begun_at);
    this->record_load(head);
    this->current.head_result = classify_response(head, this->context.dialect,
                                                  {this->request.attempt_id, this->stream.begun_form(),
                                                   this->request.route->kind, !this->current.was_reused});
    this->current.head = std::move(head);
    if (this->current.head_result == attempt_end::lost) {
        this->end_attempt(attempt_end::lost, "the response does not belong to this request or stream");
    }
}

void relay_session::on_response_body(std::string_view bytes)
{
    this->state->board.on_progress(this->current.choice.target.id, this->context.clock.now());
    if (this->current.head_result || !this->is_event_stream()) {
        this->buffer_body(bytes);
        return;
    }
    this->forward_events(bytes);
    this->context.trials.on_progress(this->current.trial, this->stream.events() - this->current.events_before,
                                     this->context.clock.now());
    if (this->stream.is_too_long()) {
        this->end_attempt(attempt_end::lost, "an event exceeds the size limit");
    }
}

void relay_session::buffer_body(std::string_view bytes)
{
    const auto size = this->current.body.size() + bytes.size();
    if (size <= relay_context::max_response_bytes &&
        this->context.buffered_bytes + bytes.size() <= relay_context::max_buffered_bytes) {
        this->current.body.append(bytes);
        this->context.buffered_bytes += bytes.size();
        return;
    }
    const bool is_declined = this->current.head_result == attempt_end::declined;
    this->current.channel->close();
    this->end_attempt(is_declined ? attempt_end::declined : attempt_end::lost,
                      "the response exceeds the buffer limit");
}

void relay_session::release_buffer()
{
    this->context.buffered_bytes -= this->current.body.size();
    this->current.body.clear();
}

bool relay_session::is_event_stream() const
{
    return this->request.route->is_stream && this->current.head.status / 100 == 2;
}

std::string_view relay_session::prompt_parts() const
{
    return this->request.raw.head.header(this->context.dialect.prompt_parts);
}

void relay_session::forward_events(std::string_view bytes)
{
    this->stream.pass(bytes, this->current.head, this->context.clock.now());
    if (this->stream.unsent() > max_unsent_bytes) {
        this->current.channel->pause_reading();
        this->stream.on_drained([weak = this->weak_from_this()] {
            if (const auto session = weak.lock(); session && session->current.channel) {
                session->current.channel->resume_reading();
            }
        });
    }
}

void relay_session::on_exchange_end(exchange_end end)
{
    const auto keep_alive = this->shared_from_this();
    const auto& address = this->current.choice.target.address;
    if (end == exchange_end::complete) {
        this->context.channels.release(address, this->current.channel);
    }
    switch (end) {
    case exchange_end::complete:
        if (this->current.head_result) {
            this->end_attempt(*this->current.head_result, "error response from the target");
        }
        else {
            this->on_response_complete();
        }
        return;
    case exchange_end::not_sent:
        this->end_attempt(attempt_end::not_sent, "connection failed");
        return;
    case exchange_end::lost:
        this->context.on_connection_closed(this->current.choice.target.host);
        this->end_attempt(attempt_end::lost, "the connection closed before the response was complete");
        return;
    case exchange_end::malformed:
        this->end_attempt(attempt_end::lost, "malformed response");
        return;
    }
}

void relay_session::on_response_complete()
{
    if (this->is_event_stream() && this->stream.is_inside_event()) {
        this->end_attempt(attempt_end::lost, "the stream ended inside an event");
        return;
    }
    ++this->attempts_sent;
    this->close_attempt(false);
    const auto now = this->context.clock.now();
    this->context.trials.on_complete(this->current.trial, now);
    const auto* service = this->request.routes->find_service(this->request.service);
    const double tokens =
        service->engine ? static_cast<double>(this->stream.events()) * service->engine->steps_per_event : 0.0;
    // Excludes the time in the target's queue, which the admission forecast adds.
    const auto work_began =
        this->current.begun_at > time_ms{} ? this->current.begun_at : this->current.sent_at;
    this->state->meters[this->request.model].on_answer(tokens, now - work_began);
    if (!this->is_event_stream()) {
        this->forward_response();
        return;
    }
    this->stream.finish(this->current.head, now);
    this->finish("whole", this->current.head.status);
}

void relay_session::forward_response()
{
    const auto& head = this->current.head;
    this->stream.send_whole(head.status, forwarded_response_headers(head), this->current.body);
    this->finish(head.status < first_error_status ? "whole" : "target_failed", head.status);
}

} // namespace coriander
