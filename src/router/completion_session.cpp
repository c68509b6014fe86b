#include "router/completion_session.hpp"

#include "core/json_text.hpp"
#include "coriander/host.hpp"
#include "runtime/log.hpp"

namespace coriander {
namespace {

constexpr int max_attempts = 5;
constexpr time_ms probe_timeout = 500_ms;
constexpr std::size_t prefix_bytes = 64;
constexpr std::size_t max_line_bytes = 1U << 20U;

http_response stream_headers()
{
    return {200, "text/event-stream", {}, {{"Cache-Control", "no-cache"}}};
}

} // namespace

completion_session::completion_session(router_context& context, std::shared_ptr<const http_request> request,
                                       std::shared_ptr<http_reply> reply, completion_kind kind)
    : request_session{context, std::move(request), std::move(reply)}, kind{kind}
{
}

bool completion_session::read_request()
{
    auto parsed = parse_completion(this->request->body, this->kind);
    if (!parsed.params) {
        this->end_with_error({400, "bad_request", run_state::not_run, parsed.error, {}});
        return false;
    }
    this->params = std::move(*parsed.params);
    this->idempotency_key = this->request->header("Idempotency-Key");
    this->prefix = this->params.prompt.substr(0, prefix_bytes);
    return this->find_service(this->params.model, profile_kind::model);
}

std::string completion_session::generate_body() const
{
    return to_text({{"attempt", this->attempt_id},
                    {"replica", this->current.target},
                    {"generation", this->current.generation},
                    {"prompt", this->params.prompt},
                    {"max_tokens", this->params.max_tokens},
                    {"priority", this->params.priority},
                    {"resume_from", this->progress.next_index()},
                    {"generated", this->progress.text()}});
}

void completion_session::begin_attempt()
{
    ++this->attempts;
    ++this->attempt_number;
    this->attempt_id = this->context.new_unique_id();
    this->progress.begin_attempt(this->attempt_id);
    this->buffer.clear();
    this->attempt_error.clear();
    this->last_activity = this->now();
    this->awaiting_target = false;
    this->probing = false;
    http_call outgoing;
    outgoing.method = "POST";
    outgoing.url = "http://" + this->current.address + "/engine/generate";
    outgoing.body = this->generate_body();
    outgoing.total_timeout = time_ms{}; // `check_attempt` applies idle timeouts instead.
    outgoing.fresh_connection = this->grant.has_value();
    const auto self = std::static_pointer_cast<completion_session>(this->shared_from_this());
    const auto number = this->attempt_number;
    this->transfer = this->context.client.start(
        std::move(outgoing), [self, number](std::string_view chunk) { self->on_data(number, chunk); },
        [self, number](const http_result& end) { self->on_done(number, end); });
}

void completion_session::on_data(std::uint64_t attempt, std::string_view chunk)
{
    const std::scoped_lock lock{this->mutex};
    if (attempt != this->attempt_number || this->ended) {
        return;
    }
    this->buffer += chunk;
    std::size_t begin = 0;
    for (auto end = this->buffer.find('\n'); end != std::string::npos; end = this->buffer.find('\n', begin)) {
        this->on_line(std::string_view{this->buffer}.substr(begin, end - begin));
        if (attempt != this->attempt_number || this->ended) {
            return;
        }
        begin = end + 1;
    }
    this->buffer.erase(0, begin);
    if (this->buffer.size() > max_line_bytes) {
        this->on_attempt_failed(attempt_outcome::failed, run_state::failed);
    }
}

void completion_session::on_line(std::string_view line)
{
    const auto object = parse_object(line);
    if (!object) {
        return; // An error body or a malformed line: `on_done` classifies the attempt.
    }
    if (auto message = text_member(*object, "error"); !message.empty()) {
        this->attempt_error = std::move(message);
        return;
    }
    stream_event event;
    event.attempt = text_member(*object, "attempt");
    event.is_end = bool_member(*object, "end");
    event.index = static_cast<std::uint64_t>(integer_member(*object, event.is_end ? "count" : "index"));
    event.text = text_member(*object, "text");
    switch (this->progress.accept(event)) {
    case stream_step::emit:
        this->forward_token(event);
        break;
    case stream_step::finish:
        this->finish_answer();
        break;
    case stream_step::drop:
        if (event.attempt != this->attempt_id) {
            // The connection carries another attempt's answer, so nothing more on it can be trusted.
            this->on_attempt_failed(attempt_outcome::failed, run_state::failed);
        }
        break;
    case stream_step::abort_attempt:
        this->on_attempt_failed(attempt_outcome::failed, run_state::failed);
        break;
    }
}

void completion_session::forward_token(const stream_event& event)
{
    const auto now = this->now();
    if (this->progress.next_index() == 1) {
        const std::scoped_lock lock{this->route->mutex};
        this->route->requests.on_first_token(this->ticket, now);
        this->context.numbers.observe("coriander_first_token_seconds", this->metric_label,
                                      (now - this->arrival_time).seconds());
    }
    else {
        this->context.numbers.observe("coriander_between_tokens_seconds", this->metric_label,
                                      (now - this->last_activity).seconds());
    }
    this->last_activity = now;
    if (!this->params.stream) {
        return;
    }
    if (!this->stream_open) {
        this->reply->begin_stream(stream_headers());
        this->stream_open = true;
    }
    this->reply->append(token_event(this->params, this->id, event.text));
}

void completion_session::finish_answer()
{
    ++this->attempt_number; // Later callbacks of this attempt are ignored.
    this->finish_attempt(attempt_outcome::succeeded);
    const auto completion =
        completion_json(this->params, this->id, this->progress.text(), this->progress.next_index());
    if (this->params.stream) {
        if (!this->stream_open) {
            this->reply->begin_stream(stream_headers());
        }
        this->reply->append(final_events(this->params, this->id));
        this->reply->finish();
    }
    else {
        this->reply->send({200, "application/json", completion, {}});
    }
    this->end_with_answer({200, "application/json", completion});
}

/// Classifies the end of an attempt that did not deliver a complete answer.
void completion_session::on_done(std::uint64_t attempt, const http_result& end)
{
    const std::scoped_lock lock{this->mutex};
    if (attempt != this->attempt_number || this->ended) {
        return;
    }
    constexpr int success = 200;
    constexpr int overloaded = 429;
    if (end.outcome == http_outcome::not_sent) {
        this->on_attempt_failed(attempt_outcome::failed, run_state::not_run);
        return;
    }
    if (end.outcome == http_outcome::answered && end.status != success) {
        const auto body = parse_object(this->buffer);
        const bool not_run = body && text_member(*body, "run") == "not_run";
        const auto outcome = end.status == overloaded ? attempt_outcome::overloaded : attempt_outcome::failed;
        this->on_attempt_failed(outcome, not_run ? run_state::not_run : run_state::failed);
        return;
    }
    // A lost connection or an error reported by the engine counts as the target's death while it ran this
    // request. An ordered unload or reload does not.
    const bool was_ordered = this->attempt_error == "unloaded" || this->attempt_error == "reloaded";
    const bool has_died = end.outcome == http_outcome::lost || (!this->attempt_error.empty() && !was_ordered);
    this->on_attempt_failed(has_died ? attempt_outcome::target_died : attempt_outcome::failed,
                            run_state::failed);
}

/// Cancels the running attempt's transfer; its later callbacks are ignored.
void completion_session::abandon_attempt()
{
    ++this->attempt_number;
    this->context.client.cancel(this->transfer);
}

void completion_session::on_attempt_failed(attempt_outcome outcome, run_state run)
{
    this->abandon_attempt();
    this->finish_attempt(outcome);
    this->may_have_run = this->may_have_run || run != run_state::not_run;
    if (!this->may_retry()) {
        const bool not_run = run == run_state::not_run;
        this->end_with_error({not_run ? 503 : 504, not_run ? "target_unavailable" : "outcome_unknown",
                              not_run ? run_state::not_run : run_state::unknown,
                              "the target did not answer the request completely; the request is not retried",
                              not_run ? std::optional{1_s} : std::nullopt});
        return;
    }
    this->awaiting_target = true;
    this->try_next_target(this->now());
}

/// Retries on another target, or keeps waiting for one if none is available.
void completion_session::try_next_target(time_ms now)
{
    if (this->attempts >= max_attempts) {
        this->end_with_failure();
        return;
    }
    if (!this->reassign(this->has_tokens())) {
        if (!this->may_wait_for_target(now)) {
            this->end_with_failure();
            return;
        }
        // Targets that failed may be tried again: one that has recovered may be the only one left.
        this->routing.tried.clear();
        return;
    }
    log_event(event::attempt_resumed, {{"request", this->id},
                                       {"target", this->current.target},
                                       {"from_token", this->progress.next_index()}});
    this->begin_attempt();
}

/// A stream that has already delivered tokens waits until `request_deadline` has passed since its last
/// activity, any other request until its deadline.
bool completion_session::may_wait_for_target(time_ms now)
{
    if (this->has_tokens()) {
        return now - this->last_activity < this->rules.request_deadline;
    }
    const std::scoped_lock lock{this->route->mutex};
    return now < this->routing.deadline && this->route->requests.may_retry(this->routing, now);
}

void completion_session::end_with_failure()
{
    const auto run = this->may_have_run ? run_state::failed : run_state::not_run;
    this->end_with_error({run == run_state::not_run ? 503 : 502, "target_failed", run,
                          "no target could complete the answer", 1_s});
}

bool completion_session::is_replica_unhealthy() const
{
    const std::scoped_lock lock{this->route->mutex};
    return this->route->unhealthy.contains(
        replica_generation_key(this->current.target, this->current.generation));
}

void completion_session::check_attempt(time_ms now)
{
    if (this->reply->disconnected()) {
        log_event(event::caller_gone, {{"request", this->id}, {"customer", this->customer.name}});
        this->abandon_attempt();
        this->send_engine_cancel();
        this->end_with_error({499, "caller_gone", run_state::failed, "the caller closed the connection", {}});
        return;
    }
    if (this->awaiting_target) {
        this->try_next_target(now);
        return;
    }
    if (!this->attempt_running || this->probing) {
        return;
    }
    if (this->is_replica_unhealthy()) {
        this->on_attempt_failed(attempt_outcome::failed, run_state::failed);
        return;
    }
    const auto limit = this->has_tokens() ? this->rules.stream_idle_limit
                                          : this->rules.first_token_limit + this->rules.stream_idle_limit;
    if (now - this->last_activity > limit) {
        this->probe_target();
    }
}

/// After an idle timeout, probes the target over a new connection to tell a dead connection from a dead
/// target.
void completion_session::probe_target()
{
    this->probing = true;
    http_call outgoing;
    outgoing.url = "http://" + this->current.address + "/engine/report";
    outgoing.total_timeout = probe_timeout;
    outgoing.connect_timeout = probe_timeout;
    outgoing.fresh_connection = true;
    const auto self = std::static_pointer_cast<completion_session>(this->shared_from_this());
    const auto number = this->attempt_number;
    this->context.client.start(std::move(outgoing), {},
                               [self, number](const http_result& end) { self->on_probe(number, end); });
}

void completion_session::on_probe(std::uint64_t attempt, const http_result& end)
{
    const std::scoped_lock lock{this->mutex};
    if (attempt != this->attempt_number || this->ended) {
        return;
    }
    const auto report = end.ok() ? decode_host_report(end.body) : std::nullopt;
    const bool is_alive = report && report->replica == this->current.target &&
                          report->generation == this->current.generation && report->ready;
    log_event(event::connection_silent, {{"request", this->id},
                                         {"target", this->current.target},
                                         {"target_alive", is_alive ? "yes" : "no"},
                                         {"token", this->progress.next_index()}});
    if (!this->may_retry() || !is_alive || this->attempts >= max_attempts) {
        this->on_attempt_failed(is_alive ? attempt_outcome::failed : attempt_outcome::target_died,
                                run_state::failed);
        return;
    }
    this->abandon_attempt();
    this->send_engine_cancel();
    this->begin_attempt();
}

/// Asks the engine to cancel the attempt. Best effort: nothing depends on the message's arrival.
void completion_session::send_engine_cancel() const
{
    http_call outgoing;
    outgoing.method = "POST";
    outgoing.url = "http://" + this->current.address + "/engine/cancel";
    outgoing.body = to_text({{"attempt", this->attempt_id}});
    outgoing.total_timeout = probe_timeout;
    this->context.client.start(std::move(outgoing), {}, [](const http_result&) {});
}

void completion_session::replay(const stored_answer& answer)
{
    const auto kept = parse_object(answer.body);
    const auto choices = kept ? array_member(*kept, "choices") : std::vector<json_object>{};
    if (!this->params.stream || choices.empty()) {
        this->reply->send({answer.status, answer.content_type, answer.body, {}});
        return;
    }
    const auto message = object_member(choices.front(), "message");
    const auto text = message ? text_member(*message, "content") : text_member(choices.front(), "text");
    this->reply->begin_stream(stream_headers());
    this->reply->append(token_event(this->params, this->id, text));
    this->reply->append(final_events(this->params, this->id));
    this->reply->finish();
}

void completion_session::send_error(const caller_error& error)
{
    if (!this->stream_open) {
        this->reply->send(error_response(error));
        return;
    }
    // The stream ends with an error event and without `[DONE]`.
    this->reply->append(sse_event(error_json(error)));
    this->reply->finish();
}

} // namespace coriander
