#include "router/plain_session.hpp"

#include <algorithm>

namespace coriander {
namespace {

constexpr std::string_view path_prefix = "/v1/services/";
constexpr int first_server_error = 500;

std::string content_type_of(const http_result& end)
{
    for (const auto& field : end.headers) {
        if (field.name == "Content-Type" || field.name == "content-type") {
            return field.value;
        }
    }
    return "application/octet-stream";
}

} // namespace

bool plain_session::read_request()
{
    const auto rest = this->request->path.substr(path_prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string::npos) {
        this->end_with_error({404,
                              "no_such_call",
                              run_state::not_run,
                              "the path must have the form /v1/services/SERVICE/CALL",
                              {}});
        return false;
    }
    this->idempotency_key = this->request->header("Idempotency-Key");
    return this->find_service(rest.substr(0, slash), profile_kind::plain) &&
           this->find_call(rest.substr(slash + 1));
}

bool plain_session::find_call(const std::string& name)
{
    const auto found = std::find_if(this->rules.calls.begin(), this->rules.calls.end(),
                                    [&](const auto& rule) { return rule.name == name; });
    if (found == this->rules.calls.end()) {
        this->end_with_error(
            {404, "no_such_call", run_state::not_run, "the service has no call '" + name + "'", {}});
        return false;
    }
    this->call = *found;
    if (this->call.method != this->request->method) {
        this->end_with_error({405,
                              "wrong_method",
                              run_state::not_run,
                              "this call requires the method " + this->call.method,
                              {}});
        return false;
    }
    if (!this->call.repeatable && this->idempotency_key.empty()) {
        this->end_with_error({400,
                              "key_missing",
                              run_state::not_run,
                              "this call is not repeatable and requires the header Idempotency-Key",
                              {}});
        return false;
    }
    return true;
}

void plain_session::begin_attempt()
{
    http_call outgoing;
    outgoing.method = this->call.method;
    outgoing.url = "http://" + this->current.address + this->call.path;
    if (!this->request->query.empty()) {
        outgoing.url += "?" + this->request->query;
    }
    outgoing.body = this->request->body;
    if (const auto type = this->request->header("Content-Type"); !type.empty()) {
        outgoing.headers.push_back({"Content-Type", type});
    }
    outgoing.headers.push_back({"X-Request-Id", this->id});
    outgoing.total_timeout = std::max(1_ms, this->routing.deadline - this->now());
    outgoing.fresh_connection = this->grant.has_value();
    const auto self = std::static_pointer_cast<plain_session>(this->shared_from_this());
    this->context.client.start(std::move(outgoing), {},
                               [self](const http_result& end) { self->on_done(end); });
}

/// Nothing to check: the HTTP client enforces the call's timeout.
void plain_session::check_attempt(time_ms) {}

void plain_session::on_done(const http_result& end)
{
    const std::scoped_lock lock{this->mutex};
    if (this->ended) {
        return;
    }
    const bool is_answer = end.outcome == http_outcome::answered;
    if (is_answer && (end.status < first_server_error || !this->may_retry())) {
        const auto outcome =
            end.status < first_server_error ? attempt_outcome::succeeded : attempt_outcome::failed;
        this->finish_attempt(outcome);
        this->forward_answer(end);
        return;
    }
    this->on_attempt_failed(end);
}

void plain_session::on_attempt_failed(const http_result& end)
{
    const bool never_sent = end.outcome == http_outcome::not_sent;
    this->may_have_run = this->may_have_run || !never_sent;
    this->finish_attempt(attempt_outcome::failed);
    if (!this->may_retry()) {
        // Nothing was sent on a refused connection, so another target would still be the first to receive the
        // request.
        if (end.refused && never_sent && this->reassign(false)) {
            this->begin_attempt();
            return;
        }
        if (never_sent) {
            this->end_with_error(
                {503, "target_unavailable", run_state::not_run, "the target could not be reached", 1_s});
        }
        else {
            this->end_with_error({504,
                                  "outcome_unknown",
                                  run_state::unknown,
                                  "the request was sent but no answer arrived; it is not retried",
                                  {}});
        }
        return;
    }
    if (this->now() < this->routing.deadline && this->reassign(false)) {
        this->begin_attempt();
        return;
    }
    if (end.outcome == http_outcome::answered) {
        this->forward_answer(end);
        return;
    }
    const auto run = this->may_have_run ? run_state::unknown : run_state::not_run;
    this->end_with_error(
        {this->may_have_run ? 504 : 503, "target_failed", run, "no target answered in time", 1_s});
}

void plain_session::forward_answer(const http_result& end)
{
    const stored_answer answer{end.status, content_type_of(end), end.body};
    this->reply->send({answer.status, answer.content_type, answer.body, {}});
    this->end_with_answer(answer);
}

void plain_session::replay(const stored_answer& answer)
{
    this->reply->send({answer.status, answer.content_type, answer.body, {{"Idempotent-Replayed", "true"}}});
}

void plain_session::send_error(const caller_error& error)
{
    this->reply->send(error_response(error));
}

} // namespace coriander
