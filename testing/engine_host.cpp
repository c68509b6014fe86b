#include "engine_host.hpp"

#include "coriander/random_source.hpp"
#include "expected_answer.hpp"
#include "standin_program.hpp"

#include <cstdlib>
#include <iostream>

namespace coriander {
namespace {

constexpr std::size_t kept_reports = 512;

std::string error_body(const char* code, const char* run)
{
    return to_text({{"error", code}, {"run", run}});
}

} // namespace

engine_host::engine_host(std::string id, engine_pace pace, http_client& client, bool exit_on_crash)
    : id{std::move(id)}, pace{pace}, client{client}, exit_on_crash{exit_on_crash}, incarnation{
                                                                                       new_incarnation()}
{
}

void engine_host::handle(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    const std::scoped_lock lock{this->mutex};
    if (request.path == "/fault") {
        this->handle_fault(request, *reply);
        return;
    }
    if (this->faults.unresponsive) {
        this->unanswered.push_back(reply);
        return;
    }
    if (request.path == "/engine/report") {
        send_json(*reply, 200, encode_host_report(this->lagged_report()));
    }
    else if (request.path == "/engine/order") {
        this->handle_order(request, *reply);
    }
    else if (request.path == "/engine/generate") {
        this->handle_generate(request, reply);
    }
    else if (request.path == "/engine/cancel") {
        this->handle_cancel(request, *reply);
    }
    else if (request.path == "/engine/cache-events") {
        this->handle_cache_events(request, *reply);
    }
    else {
        send_json(*reply, 404, error_body("no_such_path", "not_run"));
    }
}

host_report engine_host::report_now()
{
    const bool is_ready = !this->replica.empty() && clock::now() >= this->ready_at;
    return {this->id,
            this->incarnation,
            this->replica,
            this->generation,
            this->fence,
            is_ready,
            static_cast<std::uint32_t>(this->running.size()),
            static_cast<std::uint32_t>(this->waiting.size())};
}

/// The load lags when told to; what the host holds never does.
host_report engine_host::lagged_report()
{
    auto report = this->report_now();
    const auto now = clock::now();
    this->past_reports.emplace_back(now, report);
    if (this->past_reports.size() > kept_reports) {
        this->past_reports.pop_front();
    }
    const auto lag = std::chrono::milliseconds{this->faults.report_lag_ms};
    for (auto past = this->past_reports.rbegin(); past != this->past_reports.rend(); ++past) {
        report.running = past->second.running;
        report.queued = past->second.queued;
        if (now - past->first >= lag) {
            break;
        }
    }
    return report;
}

void engine_host::handle_order(const http_request& request, http_reply& reply)
{
    const auto order = parse_object(request.body);
    if (!order) {
        send_json(reply, 400, error_body("not_json", "not_run"));
        return;
    }
    const auto number = static_cast<std::uint64_t>(integer_member(*order, "fence"));
    if (number < this->fence && !this->faults.ignore_fence) {
        send_json(reply, 409, error_body("old_fence", "not_run"));
        return;
    }
    this->fence = std::max(this->fence, number);
    this->obey(*order, reply);
}

void engine_host::obey(const json_object& order, http_reply& reply)
{
    const auto wanted = text_member(order, "replica");
    const auto wanted_generation = static_cast<std::uint64_t>(integer_member(order, "generation"));
    if (text_member(order, "order") == "unload") {
        this->end_all("unloaded");
        this->replica.clear();
        this->generation = 0;
        this->other_members.clear();
    }
    else if (wanted != this->replica || wanted_generation != this->generation) {
        this->end_all("reloaded");
        this->replica = wanted;
        this->generation = wanted_generation;
        this->ready_at = clock::now() + std::chrono::milliseconds{this->pace.load_ms};
        this->other_members.clear();
        for (const auto& member : array_member(order, "other_members")) {
            this->other_members.push_back(member.get<std::string>());
        }
    }
    send_json(reply, 200, encode_host_report(this->report_now()));
}

void engine_host::handle_generate(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    const auto body = parse_object(request.body);
    const auto report = this->report_now();
    if (!body) {
        send_json(*reply, 400, error_body("not_json", "not_run"));
        return;
    }
    const bool is_wanted =
        text_member(*body, "replica") == this->replica && report.ready &&
        static_cast<std::uint64_t>(integer_member(*body, "generation")) == this->generation;
    if (!is_wanted) {
        send_json(*reply, 409, error_body("wrong_replica", "not_run"));
        return;
    }
    if (this->faults.fail_fast) {
        send_json(*reply, 500, error_body("broken", "failed"));
        return;
    }
    if (this->waiting.size() >= static_cast<std::size_t>(this->pace.queue)) {
        send_json(*reply, 429, error_body("overloaded", "not_run"));
        return;
    }
    stream one;
    one.reply = reply;
    one.attempt = text_member(*body, "attempt");
    one.prompt = text_member(*body, "prompt");
    one.next = static_cast<std::uint64_t>(integer_member(*body, "resume_from"));
    one.count = static_cast<std::uint64_t>(integer_member(*body, "max_tokens"));
    one.count = one.count == 0 ? static_cast<std::uint64_t>(this->pace.default_tokens) : one.count;
    one.priority = static_cast<int>(integer_member(*body, "priority"));
    if (text_member(*body, "generated") != expected_answer(one.prompt, one.next)) {
        send_json(*reply, 422, error_body("wrong_resume", "not_run"));
        return;
    }
    const bool kills =
        !this->faults.crash_prompt.empty() && one.prompt.find(this->faults.crash_prompt) != std::string::npos;
    reply->begin_stream({200, "application/x-ndjson", {}, {}});
    if (kills) {
        this->waiting.push_back(std::move(one));
        this->crash();
        return;
    }
    ++this->served;
    auto place = this->waiting.begin();
    while (place != this->waiting.end() && place->priority >= one.priority) {
        ++place;
    }
    this->waiting.insert(place, std::move(one));
    this->start_waiting(clock::now());
}

void engine_host::handle_cancel(const http_request& request, http_reply& reply)
{
    const auto body = parse_object(request.body).value_or(json_object::object());
    const auto attempt = text_member(body, "attempt");
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto one = list->begin(); one != list->end();) {
            if (one->attempt != attempt) {
                ++one;
                continue;
            }
            one->reply->finish();
            one = list->erase(one);
        }
    }
    this->start_waiting(clock::now());
    send_json(reply, 200, "{}");
}

void engine_host::handle_cache_events(const http_request& request, http_reply& reply)
{
    const auto since_text = request.query_value("since");
    const auto since = std::strtoull(since_text.c_str(), nullptr, 10);
    json_object list = json_object::array();
    for (const auto& one : this->cache_events) {
        if (one.number > since) {
            list.push_back({{"number", one.number}, {"prefix", one.prefix}, {"stored", one.stored}});
        }
    }
    json_object answer{
        {"incarnation", this->incarnation}, {"events", list}, {"last", this->last_cache_event}};
    if (since_text.empty()) {
        answer["prefixes"] = this->prefixes;
    }
    send_json(reply, 200, to_text(answer));
}

void engine_host::handle_fault(const http_request& request, http_reply& reply)
{
    const auto wanted = parse_object(request.body).value_or(json_object::object());
    const auto set_flag = [&](const char* name, bool& flag) {
        if (wanted.contains(name)) {
            flag = bool_member(wanted, name);
        }
    };
    if (bool_member(wanted, "mute_streams")) {
        this->mute_streams();
    }
    set_flag("unresponsive", this->faults.unresponsive);
    set_flag("ignore_fence", this->faults.ignore_fence);
    set_flag("drop_cache_events", this->faults.drop_cache_events);
    set_flag("fail_fast", this->faults.fail_fast);
    if (wanted.contains("slow_factor")) {
        this->faults.slow_factor = number_member(wanted, "slow_factor");
    }
    if (wanted.contains("report_lag_ms")) {
        this->faults.report_lag_ms = static_cast<int>(integer_member(wanted, "report_lag_ms"));
    }
    if (wanted.contains("crash_prompt")) {
        this->faults.crash_prompt = text_member(wanted, "crash_prompt");
    }
    if (bool_member(wanted, "restart")) {
        this->crash();
    }
    send_json(reply, 200, to_text({{"served", this->served}, {"crashes", this->crashes}}));
}

} // namespace coriander
