#include "engine_host.hpp"

#include "coriander/random_source.hpp"
#include "expected_answer.hpp"
#include "standin_program.hpp"

#include <cstdlib>
#include <iostream>

namespace coriander {
namespace {

constexpr std::size_t max_past_reports = 512;

std::string error_body(const char* code, const char* run)
{
    return to_text({{"error", code}, {"run", run}});
}

} // namespace

engine_host::engine_host(std::string id, engine_settings settings, http_client& client, bool exit_on_crash)
    : id{std::move(id)}, settings{settings}, client{client}, exit_on_crash{exit_on_crash},
      incarnation{new_incarnation()}
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
        this->held_replies.push_back(reply);
        return;
    }
    if (request.path == "/engine/report") {
        send_json(*reply, 200, encode_host_report(this->report_with_lag()));
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

host_report engine_host::current_report()
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

/// Only the load figures are delayed by `report_lag_ms`; everything else is current.
host_report engine_host::report_with_lag()
{
    auto report = this->current_report();
    const auto now = clock::now();
    this->past_reports.emplace_back(now, report);
    if (this->past_reports.size() > max_past_reports) {
        this->past_reports.pop_front();
    }
    const auto lag = std::chrono::milliseconds{this->faults.report_lag_ms};
    for (auto past_report = this->past_reports.rbegin(); past_report != this->past_reports.rend();
         ++past_report) {
        report.running = past_report->second.running;
        report.queued = past_report->second.queued;
        if (now - past_report->first >= lag) {
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
    const auto order_fence = static_cast<std::uint64_t>(integer_member(*order, "fence"));
    if (order_fence < this->fence && !this->faults.ignore_fence) {
        send_json(reply, 409, error_body("old_fence", "not_run"));
        return;
    }
    this->fence = std::max(this->fence, order_fence);
    this->apply_order(*order, reply);
}

void engine_host::apply_order(const json_object& order, http_reply& reply)
{
    const auto new_replica = text_member(order, "replica");
    const auto new_generation = static_cast<std::uint64_t>(integer_member(order, "generation"));
    if (text_member(order, "order") == "unload") {
        this->end_all_streams("unloaded");
        this->replica.clear();
        this->generation = 0;
        this->other_members.clear();
    }
    else if (new_replica != this->replica || new_generation != this->generation) {
        this->end_all_streams("reloaded");
        this->replica = new_replica;
        this->generation = new_generation;
        this->ready_at = clock::now() + std::chrono::milliseconds{this->settings.load_ms};
        this->other_members.clear();
        for (const auto& member : array_member(order, "other_members")) {
            this->other_members.push_back(member.get<std::string>());
        }
    }
    send_json(reply, 200, encode_host_report(this->current_report()));
}

void engine_host::handle_generate(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    const auto body = parse_object(request.body);
    const auto report = this->current_report();
    if (!body) {
        send_json(*reply, 400, error_body("not_json", "not_run"));
        return;
    }
    const bool is_for_this_replica =
        text_member(*body, "replica") == this->replica && report.ready &&
        static_cast<std::uint64_t>(integer_member(*body, "generation")) == this->generation;
    if (!is_for_this_replica) {
        send_json(*reply, 409, error_body("wrong_replica", "not_run"));
        return;
    }
    if (this->faults.fail_fast) {
        send_json(*reply, 500, error_body("broken", "failed"));
        return;
    }
    if (this->waiting.size() >= static_cast<std::size_t>(this->settings.queue_limit)) {
        send_json(*reply, 429, error_body("overloaded", "not_run"));
        return;
    }
    stream new_stream;
    new_stream.reply = reply;
    new_stream.attempt = text_member(*body, "attempt");
    new_stream.prompt = text_member(*body, "prompt");
    new_stream.next = static_cast<std::uint64_t>(integer_member(*body, "resume_from"));
    new_stream.count = static_cast<std::uint64_t>(integer_member(*body, "max_tokens"));
    new_stream.count =
        new_stream.count == 0 ? static_cast<std::uint64_t>(this->settings.default_tokens) : new_stream.count;
    new_stream.priority = static_cast<int>(integer_member(*body, "priority"));
    if (text_member(*body, "generated") != expected_answer(new_stream.prompt, new_stream.next)) {
        send_json(*reply, 422, error_body("wrong_resume", "not_run"));
        return;
    }
    const bool crashes_replica = !this->faults.crash_prompt.empty() &&
                                 new_stream.prompt.find(this->faults.crash_prompt) != std::string::npos;
    reply->begin_stream({200, "application/x-ndjson", {}, {}});
    if (crashes_replica) {
        this->waiting.push_back(std::move(new_stream));
        this->crash();
        return;
    }
    ++this->served;
    auto position = this->waiting.begin();
    while (position != this->waiting.end() && position->priority >= new_stream.priority) {
        ++position;
    }
    this->waiting.insert(position, std::move(new_stream));
    this->start_waiting_streams(clock::now());
}

void engine_host::handle_cancel(const http_request& request, http_reply& reply)
{
    const auto body = parse_object(request.body).value_or(json_object::object());
    const auto attempt = text_member(body, "attempt");
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto current = list->begin(); current != list->end();) {
            if (current->attempt != attempt) {
                ++current;
                continue;
            }
            current->reply->finish();
            current = list->erase(current);
        }
    }
    this->start_waiting_streams(clock::now());
    send_json(reply, 200, "{}");
}

void engine_host::handle_cache_events(const http_request& request, http_reply& reply)
{
    const auto since_text = request.query_value("since");
    const auto since = std::strtoull(since_text.c_str(), nullptr, 10);
    json_object list = json_object::array();
    for (const auto& event : this->cache_events) {
        if (event.number > since) {
            list.push_back({{"number", event.number}, {"prefix", event.prefix}, {"stored", event.stored}});
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
    const auto requested = parse_object(request.body).value_or(json_object::object());
    const auto set_flag = [&](const char* name, bool& flag) {
        if (requested.contains(name)) {
            flag = bool_member(requested, name);
        }
    };
    if (bool_member(requested, "mute_streams")) {
        this->stall_streams();
    }
    set_flag("unresponsive", this->faults.unresponsive);
    set_flag("ignore_fence", this->faults.ignore_fence);
    set_flag("drop_cache_events", this->faults.drop_cache_events);
    set_flag("fail_fast", this->faults.fail_fast);
    if (requested.contains("slow_factor")) {
        this->faults.slow_factor = number_member(requested, "slow_factor");
    }
    if (requested.contains("report_lag_ms")) {
        this->faults.report_lag_ms = static_cast<int>(integer_member(requested, "report_lag_ms"));
    }
    if (requested.contains("crash_prompt")) {
        this->faults.crash_prompt = text_member(requested, "crash_prompt");
    }
    if (bool_member(requested, "restart")) {
        this->crash();
    }
    send_json(reply, 200, to_text({{"served", this->served}, {"crashes", this->crashes}}));
}

} // namespace coriander
