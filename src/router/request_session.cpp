#include "router/request_session.hpp"

#include "coriander/digest.hpp"
#include "router/refusal.hpp"
#include "runtime/log.hpp"

#include <asio/post.hpp>

namespace coriander {
namespace {

constexpr time_ms queue_timeout_retry_after = 1_s;

} // namespace

request_session::request_session(router_context& context, std::shared_ptr<const http_request> request,
                                 std::shared_ptr<http_reply> reply)
    : context{context}, request{std::move(request)}, reply{std::move(reply)}
{
}

void request_session::start()
{
    const std::scoped_lock lock{this->mutex};
    this->arrival_time = this->now();
    this->id = this->context.new_unique_id();
    this->ticket = this->context.sessions.add(this->shared_from_this());
    if (!this->authenticate() || !this->read_request() || !this->check_rate_limit()) {
        return;
    }
    this->routing.ticket = this->ticket;
    this->routing.customer = this->customer.name;
    this->routing.weight = this->customer.weight;
    this->routing.deadline = this->arrival_time + this->rules.request_deadline;
    this->routing.digest = this->body_digest();
    this->routing.prefix = this->prefix;
    if (this->idempotency_key.empty()) {
        this->submit();
    }
    else {
        this->begin_claim();
    }
}

bool request_session::authenticate()
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = this->request->header("Authorization");
    const auto config = this->context.configs.current();
    if (config->record.number == 0) {
        this->end_with_error(starting_error());
        return false;
    }
    const customer_rule* known = nullptr;
    if (value.starts_with(scheme)) {
        known = config->config.find_customer_by_key(sha256_hex(value.substr(scheme.size())));
    }
    if (known == nullptr) {
        this->end_with_error(
            {401, "unauthorized", run_state::not_run, "the API key is missing or unknown", {}});
        return false;
    }
    this->customer = *known;
    if (this->context.isolated) {
        this->end_with_error({503, "isolated", run_state::not_run,
                              "this entry host is isolated from the others; use another entry host", 1_s});
        return false;
    }
    return true;
}

bool request_session::find_service(const std::string& name, profile_kind kind)
{
    const auto config = this->context.configs.current();
    const auto* found = config->config.profile_of(name);
    if (found == nullptr || found->kind != kind) {
        this->end_with_error({404,
                              "no_such_service",
                              run_state::not_run,
                              "there is no service '" + name + "' of this kind",
                              {}});
        return false;
    }
    this->route = this->context.routes.find(name);
    if (!this->route) {
        this->end_with_error(starting_error());
        return false;
    }
    this->service = name;
    this->metric_label = "service=\"" + name + "\"";
    this->rules = *found;
    return true;
}

bool request_session::check_rate_limit()
{
    if (this->context.peers.try_pass(this->customer)) {
        return true;
    }
    this->end_with_error({429, "rate_limited", run_state::not_run, "the customer's rate limit is exceeded",
                          this->context.peers.retry_after(this->customer)});
    return false;
}

std::string request_session::body_digest() const
{
    return sha256_hex(this->customer.name + "\n" + this->request->path + "\n" + this->request->query + "\n" +
                      this->request->body);
}

void request_session::begin_claim()
{
    const claim_key key{this->customer.name, this->idempotency_key};
    const auto digest = this->routing.digest;
    asio::post(this->context.workers, [self = this->shared_from_this(), key, digest] {
        auto decision = self->context.claims.begin(key, digest);
        const std::scoped_lock lock{self->mutex};
        self->on_claim(std::move(decision));
    });
}

void request_session::on_claim(claim_decision decision)
{
    log_event(event::claim_decided, {{"request", this->id},
                                     {"customer", this->customer.name},
                                     {"key", this->idempotency_key},
                                     {"verdict", name_of(decision.verdict)}});
    if (decision.verdict == claim_verdict::granted) {
        this->grant = std::move(decision.grant);
        this->submit();
    }
    else if (decision.verdict == claim_verdict::replay) {
        this->replay(decision.answer);
        this->end();
    }
    else {
        this->end_with_error(error_for(decision.verdict));
    }
}

void request_session::submit()
{
    admission decision;
    {
        const std::scoped_lock lock{this->route->mutex};
        decision = this->route->requests.submit(this->routing, this->now());
    }
    if (decision.verdict == admission_verdict::dispatched) {
        this->on_assigned(decision.assignment);
    }
    else if (decision.verdict == admission_verdict::queued) {
        this->queued = true;
        log_event(event::route_queued,
                  {{"request", this->id}, {"customer", this->customer.name}, {"service", this->service}});
    }
    else {
        this->end_with_error(error_for(decision.reason, decision.retry_after));
    }
}

void request_session::on_assigned(const route_assignment& assignment)
{
    const std::scoped_lock lock{this->mutex};
    this->queued = false;
    this->was_assigned = true;
    this->current = assignment;
    this->attempt_running = true;
    if (this->ended) {
        this->finish_attempt(attempt_outcome::abandoned);
        return;
    }
    this->log_route();
    this->begin_attempt();
}

void request_session::log_route() const
{
    log_event(event::route_chosen, {{"request", this->id},
                                    {"customer", this->customer.name},
                                    {"service", this->service},
                                    {"target", this->current.target},
                                    {"generation", this->current.generation},
                                    {"reason", name_of(this->current.reason)},
                                    {"score", this->current.score},
                                    {"probation", this->current.on_probation ? "yes" : "no"},
                                    {"waited", this->now() - this->arrival_time}});
}

void request_session::on_queue_timeout()
{
    const std::scoped_lock lock{this->mutex};
    if (!this->queued) {
        return;
    }
    this->end_with_error(error_for(refusal_reason::expired, queue_timeout_retry_after));
}

void request_session::on_drain_timeout()
{
    const std::scoped_lock lock{this->mutex};
    run_state run = run_state::not_run;
    if (this->was_assigned) {
        run = this->may_retry() ? run_state::failed : run_state::unknown;
    }
    this->end_with_error(
        {503, "stopping", run, "this entry host is shutting down and its drain limit was reached", 1_s});
}

void request_session::check()
{
    const std::scoped_lock lock{this->mutex};
    if (!this->ended && !this->queued) {
        this->check_attempt(this->now());
    }
}

bool request_session::reassign(bool is_resumed)
{
    this->routing.tried.push_back(this->current.target);
    std::optional<route_assignment> next;
    {
        const std::scoped_lock lock{this->route->mutex};
        auto& requests = this->route->requests;
        next = is_resumed ? requests.resume(this->routing, this->now())
                          : requests.retry(this->routing, this->now());
    }
    if (!next) {
        this->routing.tried.pop_back();
        return false;
    }
    this->current = *next;
    this->attempt_running = true;
    this->log_route();
    return true;
}

void request_session::finish_attempt(attempt_outcome outcome)
{
    if (!this->attempt_running) {
        return;
    }
    this->attempt_running = false;
    strike_verdict verdict = strike_verdict::clear;
    bool is_newly_ejected = false;
    {
        const std::scoped_lock lock{this->route->mutex};
        const bool was_ejected = this->route->requests.is_ejected(this->current.target, this->now());
        this->route->requests.finish(this->ticket, outcome, this->now());
        is_newly_ejected =
            !was_ejected && this->route->requests.is_ejected(this->current.target, this->now());
        verdict = this->route->requests.classify(this->routing.digest, this->now());
    }
    if (outcome != attempt_outcome::succeeded && outcome != attempt_outcome::abandoned) {
        log_event(event::attempt_failed,
                  {{"request", this->id}, {"target", this->current.target}, {"outcome", name_of(outcome)}});
    }
    if (is_newly_ejected) {
        log_event(event::target_ejected, {{"service", this->service}, {"target", this->current.target}});
    }
    if (outcome == attempt_outcome::target_died && verdict != strike_verdict::clear) {
        log_event(
            event::request_suspected,
            {{"request", this->id}, {"customer", this->customer.name}, {"target", this->current.target}});
        this->context.peers.send_strikes_now();
    }
    asio::post(this->context.workers,
               [&context = this->context, route = this->route] { context.dispatch_queued(*route); });
}

/// Releases the claim if the request did not run, else records that its outcome is unknown. The table is
/// written on a worker thread, since the call blocks.
void request_session::settle_claim(run_state run)
{
    if (!this->grant) {
        return;
    }
    asio::post(this->context.workers, [&claims = this->context.claims, grant = *this->grant, run] {
        if (run == run_state::not_run) {
            claims.release(grant);
        }
        else {
            claims.mark_unknown(grant);
        }
    });
    this->grant.reset();
}

void request_session::end_with_error(const caller_error& error)
{
    if (this->ended) {
        return;
    }
    this->finish_attempt(attempt_outcome::abandoned);
    this->settle_claim(error.run);
    if (error.run == run_state::not_run) {
        log_event(event::request_refused, {{"request", this->id},
                                           {"customer", this->customer.name},
                                           {"service", this->service},
                                           {"why", error.type}});
    }
    const auto label = "type=\"" + std::string{error.type} + "\"";
    this->context.numbers.add("coriander_request_errors_total", label);
    this->send_error(error);
    this->end();
}

void request_session::end_with_answer(stored_answer answer)
{
    if (this->grant) {
        asio::post(this->context.workers, [&claims = this->context.claims, grant = *this->grant,
                                           answer = std::move(answer)] { claims.complete(grant, answer); });
        this->grant.reset();
    }
    this->context.numbers.add("coriander_requests_total", this->metric_label);
    this->end();
}

void request_session::end()
{
    this->ended = true;
    log_event(event::request_ended, {{"request", this->id},
                                     {"customer", this->customer.name},
                                     {"service", this->service},
                                     {"took", this->now() - this->arrival_time}});
    this->context.sessions.remove(this->ticket);
}

} // namespace coriander
