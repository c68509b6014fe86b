#include "gateway/relay_session.hpp"

#include "runtime/log.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace coriander {
namespace {

/// Less time than this is not enough for another attempt.
constexpr time_ms least_attempt_time = 30_ms;
/// Targets that couldn't be connected to, before a request is refused.
constexpr std::size_t max_connect_failures = 3;
/// A caller that takes its answer slowly has at most this much of it kept here.
constexpr std::size_t max_unsent = 262144;
/// A target that declined a request is left alone for so long.
constexpr time_ms declined_pause = 150_ms;
/// Callers that are refused together come back spread over this part of the advised time.
constexpr double retry_spread = 0.5;
constexpr time_ms short_retry = 150_ms;

constexpr int misdirected_status = 421;
constexpr int first_error_status = 500;

/// The numbers of `running,waiting,slots`; nothing when the text is something else.
std::optional<std::pair<std::uint32_t, std::uint32_t>> parse_load(std::string_view text)
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ',') {
        return std::nullopt;
    }
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    return second.ec == std::errc{} ? std::optional{std::pair{running, waiting}} : std::nullopt;
}

/// The headers of a target's answer that its caller receives.
std::vector<http_header> passed_headers(const wire_head& head)
{
    std::vector<http_header> headers;
    for (const auto& header : head.headers) {
        if (!is_hop_header(header.name) && !same_name(header.name, "Content-Length")) {
            headers.push_back(header);
        }
    }
    return headers;
}

std::string seconds_text(time_ms length)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.3f", length.seconds());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

relay_session::relay_session(relay_context& context, std::shared_ptr<caller_connection> caller,
                             incoming_request request)
    : context{context}, caller{std::move(caller)}, limit_timer{context.loop}
{
    this->request.raw = std::move(request);
    this->request.routes = context.routes;
}

relay_session::~relay_session()
{
    if (this->counts_as_open) {
        --this->context.open_requests;
    }
}

void relay_session::start()
{
    this->self = this->shared_from_this();
    this->counts_as_open = true;
    ++this->context.open_requests;
    const auto problem = decode_request(this->request, this->context.dialect, this->context.draw());
    if (problem != own_answer::none) {
        this->answer(problem, short_retry);
        return;
    }
    if (this->context.refuses_new) {
        this->answer(own_answer::stopping, short_retry);
        return;
    }
    this->context.has_traffic = true;
    this->last_event = this->request.last_event;
    this->caller->on_caller_gone([weak = this->weak_from_this()] {
        if (const auto session = weak.lock()) {
            session->on_caller_gone();
        }
    });
    const auto left = this->request.give_up_at - this->context.clock.now();
    this->limit_timer.expires_after(std::chrono::milliseconds{std::max<std::int64_t>(0, left.count())});
    this->limit_timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
        if (const auto session = weak.lock(); session && !cancelled) {
            session->on_time_limit();
        }
    });
    this->admit();
}

void relay_session::admit()
{
    const auto now = this->context.clock.now();
    this->state = &this->context.service(this->request.service);
    this->state->retries.on_request(now);
    auto& meter = this->state->meters[this->request.model];
    meter.on_request(this->request.prompt_tokens, now);
    const auto* service = this->request.routes->find_service(this->request.service);
    const auto best = this->choose_target();
    admission_input input{best, this->usual_duration(*service), this->request.route->latency_objective,
                          this->request.give_up_at - now, meter.refused_share(now)};
    const auto advice = forecast_admission(input);
    if (!advice.is_admitted) {
        meter.on_refused(now);
        log_event(event::request_refused, {{"request", this->request.attempt_id},
                                           {"why", best ? "overloaded" : "no_target"},
                                           {"model", this->request.model},
                                           {"targets", this->state->board.count(this->request.model, now)},
                                           {"load", best ? best->total() : 0.0},
                                           {"slots", best ? best->target.slots : 0},
                                           {"wait", advice.predicted_wait},
                                           {"retry_after", advice.retry_after}});
        this->answer(best ? own_answer::overloaded : own_answer::no_target, advice.retry_after);
        return;
    }
    this->dispatch(*best);
}

time_ms relay_session::usual_duration(const relay_service& service)
{
    const auto measured = this->state->meters[this->request.model].usual_duration();
    if (measured > time_ms{} || !service.engine) {
        return measured;
    }
    const auto& engine = *service.engine;
    for (const auto& model : engine.models) {
        if (model.name == this->request.model) {
            return time_ms{static_cast<std::int64_t>(answer_time_ms(
                engine, model, engine.usual_prompt_tokens, engine.usual_answer_tokens, engine.slots))};
        }
    }
    return {};
}

std::optional<target_choice> relay_session::choose_target()
{
    const auto* service = this->request.routes->find_service(this->request.service);
    const std::string_view model =
        service->engine ? std::string_view{this->request.model} : std::string_view{};
    return this->state->board.choose(
        {model, this->context.failure_domain, this->tried, this->context.daemons}, this->context.draw(),
        this->context.clock.now());
}

void relay_session::dispatch(const target_choice& choice)
{
    const auto now = this->context.clock.now();
    this->current = {};
    this->current.choice = choice;
    this->current.is_open = true;
    this->current.sent_at = now;
    const auto& target = choice.target;
    log_event(event::route_chosen, {{"request", this->request.attempt_id},
                                    {"route", this->request.route->name},
                                    {"target", target.id},
                                    {"host", target.host},
                                    {"generation", target.generation},
                                    {"own", choice.own},
                                    {"others", choice.others},
                                    {"attempt", this->attempts_sent + 1},
                                    {"after_event", this->last_event.value_or(0)},
                                    {"manifest", this->request.routes->manifest().version}});
    this->state->board.on_sent(target.id, now);
    this->state->sessions[target.id].insert(this);
    // A kept connection may have died unnoticed; what can't be repeated is not risked on it.
    const bool is_fresh = this->request.route->kind == repetition::non_idempotent;
    this->current.channel =
        this->context.channels.acquire(target.address, is_fresh, &this->current.was_reused);
    if (!this->current.channel) {
        this->end_attempt(attempt_end::not_sent, "the target's address can't be used");
        return;
    }
    this->current.channel->send(this->request_text(choice), *this, this->request.raw.head.method == "HEAD");
}

std::string relay_session::request_text(const target_choice& choice) const
{
    const auto& dialect = this->context.dialect;
    auto headers = forwarded_headers(this->request, dialect);
    const auto left = this->request.give_up_at - this->context.clock.now();
    headers.push_back({dialect.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count()))});
    headers.push_back({dialect.expected_host, choice.target.host});
    if (this->last_event) {
        headers.push_back({dialect.last_event_id, std::to_string(*this->last_event)});
    }
    const auto& head = this->request.raw.head;
    return request_head_text(head.method, head.target, headers) + this->request.raw.body;
}

void relay_session::read_load(const wire_head& head)
{
    if (const auto load = parse_load(head.header(this->context.dialect.host_load))) {
        this->state->board.on_load(this->current.choice.target.id, load->first, load->second,
                                   this->context.clock.now());
    }
}

void relay_session::on_response_head(wire_head head)
{
    this->current.has_begun = true;
    this->current.begun_at = this->context.clock.now();
    this->state->board.on_begun(this->current.choice.target.id, this->context.clock.now());
    this->read_load(head);
    this->judge_head(head);
    this->current.head = std::move(head);
}

void relay_session::judge_head(const wire_head& head)
{
    const auto& dialect = this->context.dialect;
    const auto echoed = head.header(dialect.attempt_id);
    const bool is_success = head.status >= 200 && head.status < 300;
    const bool is_foreign = !echoed.empty() && echoed != this->request.attempt_id;
    const bool is_unsigned = head.header(dialect.signature).empty() || echoed.empty();
    if (is_foreign || !head.header("Content-Encoding").empty() || (is_success && is_unsigned)) {
        this->current.verdict = attempt_end::lost;
    }
    else if (head.status == misdirected_status || !head.header(dialect.not_run).empty()) {
        this->current.verdict = attempt_end::declined;
    }
    else if (head.status >= first_error_status) {
        this->current.verdict = attempt_end::failed;
    }
}

void relay_session::on_response_body(std::string_view bytes)
{
    this->state->board.on_progress(this->current.choice.target.id, this->context.clock.now());
    if (this->current.verdict == attempt_end::lost) {
        return; // Somebody else's bytes; the end of the exchange closes the connection.
    }
    const bool is_stream =
        this->request.route->is_stream && !this->current.verdict && this->current.head.status / 100 == 2;
    if (is_stream) {
        this->pass_events(bytes);
    }
    else {
        this->current.body.append(bytes);
    }
}

void relay_session::pass_events(std::string_view bytes)
{
    std::string passed;
    this->framer.feed(bytes, [&](std::string_view event, std::optional<std::uint64_t> number) {
        const bool is_known = number && this->last_event && *number <= *this->last_event;
        if (!is_known) {
            passed.append(event);
            this->last_event = number ? number : this->last_event;
            ++this->events;
        }
    });
    if (passed.empty()) {
        return;
    }
    this->begin_caller_stream(this->current.head);
    this->caller->append(passed);
    if (this->caller->unsent() > max_unsent) {
        this->current.channel->pause_reading();
        this->caller->on_drained([weak = this->weak_from_this()] {
            if (const auto session = weak.lock(); session && session->current.channel) {
                session->current.channel->resume_reading();
            }
        });
    }
}

void relay_session::begin_caller_stream(const wire_head& head)
{
    if (this->answer_has_begun) {
        return;
    }
    this->answer_has_begun = true;
    this->first_byte_at = this->context.clock.now();
    this->context.counters.observe("coriander_first_event_seconds",
                                   "route=\"" + this->request.route->name + "\"",
                                   (this->first_byte_at - this->request.raw.arrived).seconds());
    this->caller->begin_stream(head.status, passed_headers(head));
}

void relay_session::on_exchange_end(exchange_end end)
{
    const auto keep = this->shared_from_this();
    const auto& address = this->current.choice.target.address;
    if (end == exchange_end::complete && this->current.verdict != attempt_end::lost) {
        this->context.channels.release(address, this->current.channel);
    }
    switch (end) {
    case exchange_end::complete:
        if (this->current.verdict) {
            this->end_attempt(*this->current.verdict, "the target's answer");
        }
        else {
            this->complete();
        }
        return;
    case exchange_end::not_sent:
        this->end_attempt(attempt_end::not_sent, "no connection");
        return;
    case exchange_end::lost:
        this->end_attempt(attempt_end::lost, "the connection ended early");
        return;
    case exchange_end::spoiled:
        this->end_attempt(attempt_end::lost, "the bytes are no answer");
        return;
    }
}

void relay_session::complete()
{
    this->close_attempt(false);
    const auto now = this->context.clock.now();
    const auto* service = this->request.routes->find_service(this->request.service);
    const double tokens =
        service->engine ? static_cast<double>(this->events) * service->engine->steps_per_event : 0.0;
    // The wait in the target's queue is left out: the forecast adds it.
    const auto work_began =
        this->current.begun_at > time_ms{} ? this->current.begun_at : this->current.sent_at;
    this->state->meters[this->request.model].on_answer(tokens, now - work_began);
    const bool is_stream = this->request.route->is_stream && this->current.head.status / 100 == 2;
    if (!is_stream) {
        this->pass_answer();
        return;
    }
    this->begin_caller_stream(this->current.head);
    this->caller->append(this->framer.take_partial());
    this->caller->finish_stream();
    this->finish("whole", this->current.head.status);
}

void relay_session::pass_answer()
{
    const auto& head = this->current.head;
    this->caller->send(head.status, passed_headers(head), this->current.body);
    this->finish(head.status < first_error_status ? "whole" : "target_failed", head.status);
}

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

attempt_state relay_session::state_after(attempt_end end)
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
    state.answer_has_begun = this->answer_has_begun;
    return state;
}

void relay_session::end_attempt(attempt_end end, const char* why)
{
    const auto keep = this->shared_from_this();
    const auto now = this->context.clock.now();
    const auto target = this->current.choice.target;
    const bool is_failure = end != attempt_end::timed_out && end != attempt_end::declined;
    if (this->current.channel && end != attempt_end::declined && end != attempt_end::failed) {
        this->current.channel->close();
    }
    this->close_attempt(is_failure);
    if (end == attempt_end::declined) {
        this->state->board.suspend(target.id, suspension::full, now + declined_pause);
    }
    this->tried.push_back(target.id);
    this->framer.reset();
    auto state = this->state_after(end);
    state.is_permitted = this->request.give_up_at - now > least_attempt_time &&
                         this->tried.size() < max_connect_failures + this->attempts_sent;
    auto step = decide_next(state);
    std::optional<target_choice> next;
    if (step == next_step::try_again || step == next_step::resume) {
        const bool costs_budget = this->attempts_sent > 0;
        next = this->choose_target();
        state.is_permitted =
            next && (!costs_budget || this->state->retries.try_retry(now, this->context.daemons));
        step = decide_next(state);
    }
    log_event(event::attempt_failed, {{"request", this->request.attempt_id},
                                      {"target", target.id},
                                      {"host", target.host},
                                      {"end", name_of(end)},
                                      {"why", why},
                                      {"status", this->current.head.status},
                                      {"reused", this->current.was_reused ? "yes" : "no"},
                                      {"after", now - this->current.sent_at},
                                      {"events", this->events},
                                      {"next", name_of(step)}});
    this->carry_out(step, next);
}

void relay_session::carry_out(next_step step, const std::optional<target_choice>& next)
{
    switch (step) {
    case next_step::try_again:
    case next_step::resume:
        this->context.counters.add("coriander_retries_total", "service=\"" + this->request.service + "\"");
        this->dispatch(*next);
        return;
    case next_step::refuse:
        this->answer(own_answer::not_sent, short_retry);
        return;
    case next_step::pass_failure:
        this->pass_answer();
        return;
    case next_step::report_unknown:
        this->answer(own_answer::unknown_end);
        return;
    case next_step::report_time_out:
        this->answer(own_answer::timed_out);
        return;
    case next_step::break_off:
        this->caller->abort();
        this->finish("broken_off", 0);
        return;
    }
}

void relay_session::leave_target()
{
    if (this->has_ended || !this->current.is_open) {
        return;
    }
    const auto now = this->context.clock.now();
    const auto& route = *this->request.route;
    const bool may_move = route.kind != repetition::non_idempotent &&
                          this->attempts_sent + 1 < route.max_attempts &&
                          this->request.give_up_at - now > least_attempt_time;
    // Without another target the stream waits here: its replica may yet go on.
    auto others = this->tried;
    others.push_back(this->current.choice.target.id);
    const auto* service = this->request.routes->find_service(this->request.service);
    const std::string_view model =
        service->engine ? std::string_view{this->request.model} : std::string_view{};
    if (may_move && this->state->board.choose({model, {}, others, 1}, 0.0, now)) {
        this->end_attempt(attempt_end::lost, "the target stands still");
    }
}

void relay_session::answer(own_answer answer, time_ms retry_after)
{
    const int status = status_of(answer);
    std::vector<http_header> headers;
    if (!this->request.attempt_id.empty()) {
        headers.push_back({this->context.dialect.attempt_id, this->request.attempt_id});
    }
    constexpr int unavailable_status = 503;
    if (status == unavailable_status && retry_after > time_ms{}) {
        const double factor = 1.0 + retry_spread * this->context.draw();
        const time_ms spread{static_cast<std::int64_t>(static_cast<double>(retry_after.count()) * factor)};
        headers.push_back({"Retry-After", seconds_text(spread)});
    }
    this->caller->send(status, std::move(headers), {});
    this->finish(name_of(answer), status);
}

void relay_session::finish(const char* outcome, int status)
{
    this->has_ended = true;
    this->limit_timer.cancel();
    const auto now = this->context.clock.now();
    const auto took = now - this->request.raw.arrived;
    const auto first = this->answer_has_begun ? this->first_byte_at - this->request.raw.arrived : time_ms{};
    log_event(event::request_ended,
              {{"request", this->request.attempt_id},
               {"route", this->request.route != nullptr ? this->request.route->name : std::string{}},
               {"customer", this->request.customer != nullptr ? this->request.customer->name : std::string{}},
               {"model", this->request.model},
               {"outcome", outcome},
               {"status", status},
               {"target", this->current.choice.target.id},
               {"attempts", this->attempts_sent + (this->current.choice.target.id.empty() ? 0 : 1)},
               {"events", this->events},
               {"first_event", first},
               {"took", took}});
    this->context.counters.add("coriander_requests_total", "outcome=\"" + std::string{outcome} + "\"");
    this->context.counters.observe("coriander_request_seconds", {}, took.seconds());
    this->self.reset();
}

void relay_session::on_time_limit()
{
    if (!this->has_ended && this->current.is_open) {
        this->end_attempt(attempt_end::timed_out, "the time limit");
    }
}

void relay_session::on_caller_gone()
{
    if (this->has_ended) {
        return;
    }
    const auto keep = this->shared_from_this();
    if (this->current.channel) {
        this->current.channel->close();
    }
    this->close_attempt(false);
    log_event(event::caller_gone, {{"request", this->request.attempt_id},
                                   {"after", this->context.clock.now() - this->request.raw.arrived},
                                   {"events", this->events}});
    this->finish("caller_gone", 0);
}

} // namespace coriander
