#include "gateway/relay_events.hpp"
#include "gateway/relay_session.hpp"
#include "gateway/statement_intake.hpp"
#include "gateway/target_answer.hpp"

#include <utility>

// Responses of targets; relay_session_end.cpp has what follows from their end.
namespace coriander {
namespace {

/// Bytes queued for a slow caller beyond which reading from the target is paused.
constexpr std::size_t max_unsent_bytes = 262144;

/// Streams with a smaller incomplete event go on when all requests together hold too much.
constexpr std::size_t tolerated_event_bytes = 16384;

constexpr int first_error_status = 500;

} // namespace

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
    if (this->current.choice.target.is_gateway) {
        this->on_gateway_head(std::move(head));
        return;
    }
    this->current.has_begun = true;
    this->current.begun_at = this->context.clock.now();
    record_statements(this->context, this->current.choice.target, head);
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
        return;
    }
    if (!this->current.head_result) {
        this->drop_held();
    }
}

void relay_session::on_response_body(std::string_view bytes)
{
    if (this->current.head_result || !this->is_event_stream()) {
        this->state->board.on_progress(this->current.choice.target.id, this->context.clock.now());
        this->buffer_body(bytes);
        return;
    }
    const auto numbered_before = this->stream.numbered_events();
    this->forward_events(bytes);
    if (this->stream.numbered_events() > numbered_before) {
        this->state->board.on_progress(this->current.choice.target.id, this->context.clock.now());
    }
    this->count_held_event();
    this->context.trials.on_progress(this->current.trial, this->stream.events() - this->current.events_before,
                                     this->context.clock.now());
    if (this->stream.is_too_long()) {
        this->end_attempt(attempt_end::lost, "an event exceeds the size limit");
    }
    else if (this->context.buffered_bytes > this->context.max_buffered_bytes &&
             this->counted_event_bytes > tolerated_event_bytes) {
        this->end_attempt(attempt_end::lost, "incomplete events exceed the buffer limit of all requests");
    }
}

void relay_session::count_held_event()
{
    const auto held = this->stream.held_bytes();
    this->context.buffered_bytes += held;
    this->context.buffered_bytes -= std::exchange(this->counted_event_bytes, held);
}

void relay_session::buffer_body(std::string_view bytes)
{
    const auto size = this->current.body.size() + bytes.size();
    if (size <= relay_context::max_response_bytes &&
        this->context.buffered_bytes + bytes.size() <= this->context.max_buffered_bytes) {
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
    this->count_held_event();
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
    this->attempts_sent += this->current.is_counted ? 0 : 1;
    this->close_attempt(false);
    const auto now = this->context.clock.now();
    this->context.trials.on_complete(this->current.trial, now);
    if (!this->current.choice.target.is_gateway) {
        this->record_answer(now);
    }
    if (!this->is_event_stream()) {
        this->forward_response();
        return;
    }
    this->stream.finish(this->current.head, now);
    this->finish("whole", this->current.head.status);
}

void relay_session::record_answer(time_ms now)
{
    const auto* service = this->request.routes->find_service(this->request.service);
    const double tokens =
        service->engine ? static_cast<double>(this->stream.events()) * service->engine->steps_per_event : 0.0;
    // Excludes the time in the target's queue, which the admission forecast adds.
    const auto work_began =
        this->current.begun_at > time_ms{} ? this->current.begun_at : this->current.sent_at;
    this->state->meters[this->request.model].on_answer(tokens, now - work_began);
}

void relay_session::forward_response()
{
    const auto& head = this->current.head;
    this->stream.send_whole(head.status, forwarded_response_headers(head), this->current.body);
    const bool is_refusal =
        this->current.choice.target.is_gateway && head.header(this->context.dialect.signature).empty();
    this->finish(head.status < first_error_status ? "whole"
                 : is_refusal                     ? "relay_refused"
                                                  : "target_failed",
                 head.status);
}

} // namespace coriander
