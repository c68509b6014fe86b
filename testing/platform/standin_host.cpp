#include "platform/standin_host.hpp"

#include <algorithm>
#include <chrono>

namespace coriander::standin {
namespace {

constexpr time_ms heartbeat_interval = 200_ms;
constexpr time_ms entry_lifetime = 700_ms;
constexpr int accepted_status = 202;
constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int precondition_failed_status = 412;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

std::chrono::milliseconds to_chrono(time_ms length)
{
    return std::chrono::milliseconds{length.count()};
}

std::string encode_event(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

} // namespace

standin_host::standin_host(asio::io_context& loop, fleet_state& fleet, std::string id, std::string service,
                           std::string domain, entry_writer put_entry)
    : loop{loop}, fleet{fleet}, id{std::move(id)}, service{std::move(service)}, domain{std::move(domain)},
      put_entry{std::move(put_entry)}, heartbeat_timer{loop}, event_timer{loop},
      incarnation{static_cast<std::uint64_t>(wall_clock_now().count())}
{
    this->listen();
    this->fleet.hosts[this->id] = this;
    this->write_entry();
}

void standin_host::listen()
{
    connection_handlers handlers;
    handlers.on_request = [this](const std::shared_ptr<caller_connection>& caller,
                                 const incoming_request& request) { this->serve(caller, request); };
    handlers.limits = [] { return connection_limits{}; };
    handlers.is_closing = [] { return false; };
    this->listener = std::make_shared<http_listener>(
        this->loop, asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, std::move(handlers));
    this->listener->start();
}

standin_host::~standin_host()
{
    this->listener->stop();
}

void standin_host::run_after(time_ms delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, to_chrono(delay));
    timer->async_wait([timer, action = std::move(action), started_incarnation = this->incarnation,
                       this](const asio::error_code&) {
        if (started_incarnation == this->incarnation && !this->is_unresponsive) {
            action();
        }
    });
}

json_object standin_host::encode_state() const
{
    json_object text{{"born", this->incarnation}, {"staged", this->staged}, {"domain", this->domain}};
    text["group"] = nullptr;
    if (this->membership) {
        text["group"] = {{"name", this->membership->replica},
                         {"epoch", this->membership->generation},
                         {"state", this->membership->state}};
    }
    return text;
}

void standin_host::write_entry()
{
    this->heartbeat_timer.expires_after(to_chrono(heartbeat_interval));
    this->heartbeat_timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            this->write_entry();
        }
    });
    if (this->is_unresponsive) {
        return; // It may resume or restart.
    }
    auto entry = this->domain.empty() ? json_object{{"born", this->incarnation}} : this->encode_state();
    entry["service"] = this->service;
    entry["address"] = "127.0.0.1:" + std::to_string(this->listener->port());
    entry["zone"] = "gent";
    entry["slots"] = this->fleet.settings.slots;
    entry["state"] = this->is_draining ? "draining" : "ready";
    entry["seq"] = ++this->heartbeats;
    this->put_entry(this->id, to_text(entry));
}

void standin_host::crash()
{
    this->is_unresponsive = true;
    this->streams.clear();
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, to_chrono(entry_lifetime));
    timer->async_wait([timer, this](const asio::error_code&) {
        if (this->is_unresponsive) {
            this->put_entry(this->id, std::nullopt);
        }
    });
}

void standin_host::die()
{
    ++this->fleet.crashes;
    this->crash();
    this->listener->stop();
    for (const auto& connection : std::exchange(this->connections, {})) {
        if (const auto caller = connection.lock()) {
            caller->abort();
        }
    }
    const auto timer =
        std::make_shared<asio::steady_timer>(this->loop, to_chrono(this->fleet.settings.crash_downtime));
    timer->async_wait([timer, this](const asio::error_code&) {
        this->listen();
        this->restart();
    });
}

void standin_host::restart()
{
    this->is_unresponsive = false;
    this->incarnation += 1000;
    this->orders_accepted = 0;
    this->membership.reset();
    this->staged.clear();
    this->own_statements.clear();
    for (const auto& [caller, request] : std::exchange(this->unanswered, {})) {
        caller->abort();
    }
    this->write_entry();
}

void standin_host::resume()
{
    this->is_unresponsive = false;
    for (const auto& [caller, request] : std::exchange(this->unanswered, {})) {
        if (!caller->has_caller_disconnected()) {
            this->serve(caller, request);
        }
    }
}

void standin_host::set_rate_limit(double per_second)
{
    this->rate_limit = per_second;
    this->limited_since = this->clock.now();
    this->arrivals.clear();
}

void standin_host::count_arrival()
{
    const auto now = this->clock.now();
    if (this->rate_limit == 0.0 || now - this->limited_since < limit_grace) {
        return;
    }
    this->arrivals.push_back(now);
    while (now - this->arrivals.front() >= limit_window) {
        this->arrivals.pop_front();
    }
    this->fleet.most_arrivals = std::max(this->fleet.most_arrivals, this->arrivals.size());
}

void standin_host::drain()
{
    this->is_draining = true;
    this->write_entry();
}

bool standin_host::leads_open_replica() const
{
    return !this->is_unresponsive && this->membership && this->membership->state == "open" &&
           this->membership->members.front() == this->id;
}

bool standin_host::is_replica_complete() const
{
    return std::all_of(this->membership->members.begin(), this->membership->members.end(),
                       [&](const std::string& member) {
                           const auto found = this->fleet.hosts.find(member);
                           return found != this->fleet.hosts.end() && !found->second->is_unresponsive &&
                                  found->second->membership &&
                                  found->second->membership->replica == this->membership->replica &&
                                  found->second->membership->generation == this->membership->generation;
                       });
}

void standin_host::serve(const std::shared_ptr<caller_connection>& caller, const incoming_request& request)
{
    if (this->is_unresponsive) {
        this->unanswered.emplace_back(caller, request);
        return;
    }
    this->connections.remove_if([](const auto& connection) { return connection.expired(); });
    this->connections.push_back(caller);
    const auto expected = request.head.header("Expect-Replica");
    if (!expected.empty() && expected != this->id) {
        caller->send(misdirected_status, {{"Replica-Id", this->id}}, {});
    }
    else if (request.head.target == "/report") {
        auto text = this->encode_state();
        text["seq"] = this->orders_accepted;
        text["num_running"] = this->streams.size();
        text["waiting"] = 0;
        text["pace"] = 1.0;
        caller->send(ok_status, {}, to_text(text));
    }
    else if (request.head.target == "/order") {
        this->serve_order(*caller, request);
    }
    else {
        this->serve_request(caller, request);
    }
}

void standin_host::serve_order(caller_connection& caller, const incoming_request& request)
{
    const auto order = parse_object(request.body).value_or(json_object::object());
    const int status = this->execute_order(order);
    this->orders_accepted += status == accepted_status ? 1 : 0;
    caller.send(status, {}, {});
    this->write_entry();
}

int standin_host::execute_order(const json_object& order)
{
    const auto op = text_member(order, "op");
    if (op == "stage") {
        const auto model = text_member(order, "model");
        this->run_after(this->fleet.settings.load_time, [this, model] {
            this->staged = {model};
            this->write_entry();
        });
        return accepted_status;
    }
    if (op == "join") {
        return this->join(order);
    }
    const bool is_current =
        this->membership && this->membership->replica == text_member(order, "group") &&
        this->membership->generation == static_cast<std::uint64_t>(integer_member(order, "epoch"));
    if (!is_current) {
        return conflict_status;
    }
    if (op == "leave") {
        this->membership.reset();
        return accepted_status;
    }
    if (this->membership->state == "open") {
        return ok_status;
    }
    if (op != "open" || this->membership->state != "ready") {
        return conflict_status;
    }
    this->run_after(this->fleet.settings.open_time, [this] {
        if (this->membership) {
            this->membership->state = "open";
            this->write_entry();
        }
    });
    return accepted_status;
}

int standin_host::join(const json_object& order)
{
    replica_membership joined{
        text_member(order, "group"), static_cast<std::uint64_t>(integer_member(order, "epoch")),
        order.value("members", std::vector<std::string>{}), text_member(order, "model"), "joining"};
    if (this->membership && this->membership->generation > joined.generation) {
        return precondition_failed_status;
    }
    if (this->membership && this->membership->replica == joined.replica &&
        this->membership->generation == joined.generation) {
        return ok_status;
    }
    if (this->membership) {
        const auto* leader = this->fleet.hosts.at(this->membership->members.front());
        this->fleet.joined_while_open += leader->leads_open_replica() ? 1 : 0;
    }
    const bool is_staged =
        std::find(this->staged.begin(), this->staged.end(), joined.model) != this->staged.end();
    const auto generation = joined.generation;
    this->membership = std::move(joined);
    this->run_after(is_staged ? this->fleet.settings.staged_join_time : this->fleet.settings.load_time,
                    [this, generation] {
                        if (this->membership && this->membership->generation == generation) {
                            this->staged = {this->membership->model};
                            this->membership->state = "ready";
                            this->write_entry();
                        }
                    });
    return accepted_status;
}

void standin_host::serve_request(const std::shared_ptr<caller_connection>& caller,
                                 const incoming_request& request)
{
    this->fleet.marks_received +=
        std::any_of(request.head.headers.begin(), request.head.headers.end(), [](const http_header& header) {
            return equal_ignoring_case(header.name, "Coriander-Relayed");
        });
    const std::string attempt{request.head.header("Attempt-Id")};
    std::vector<http_header> headers{{"Attempt-Id", attempt}, {"Server-Stamp", this->id}};
    if (this->rate_limit > 0.0) {
        headers.push_back({"Server-Limit", std::to_string(this->rate_limit)});
    }
    this->count_arrival();
    const auto pause = this->own_statements.on_request(this->clock.now());
    if (this->own_statements.is_leaving()) {
        headers.push_back({"Server-Leaving", "1"});
    }
    if (pause > time_ms{}) {
        headers.push_back({"Not-Executed", "1"});
        headers.push_back({"Retry-After", std::to_string(pause.seconds())});
        caller->send(unavailable_status, headers, {});
        return;
    }
    if (this->domain.empty()) {
        ++this->fleet.run_counts[attempt];
        caller->send(ok_status, headers, "done " + attempt);
        return;
    }
    if (!this->leads_open_replica()) {
        caller->send(misdirected_status, {{"Replica-Id", this->id}}, {});
        return;
    }
    if (this->is_replica_complete()) {
        ++this->fleet.run_counts[attempt];
    }
    const auto parts = request.head.header("Prefix-Hash");
    const bool is_crashing = !this->fleet.crashing_part.empty() &&
                             parts.find(this->fleet.crashing_part + ':') != std::string_view::npos;
    if (is_crashing) {
        ++this->fleet.crashing_arrivals;
        this->run_after(this->fleet.settings.crash_delay, [this] { this->die(); });
    }
    const auto last = request.head.header("Last-Event-Id");
    const auto next_event = last.empty() ? 1U : static_cast<unsigned>(std::stoul(std::string{last})) + 1;
    caller->begin_stream(ok_status, headers);
    this->streams.push_back({caller, attempt, next_event});
    if (this->streams.size() == 1) {
        this->send_events();
    }
}

void standin_host::send_events()
{
    this->event_timer.expires_after(to_chrono(this->fleet.settings.event_interval));
    this->event_timer.async_wait([this](const asio::error_code& cancelled) {
        if (cancelled || this->streams.empty()) {
            return;
        }
        const auto now = this->clock.now();
        if (this->membership && this->membership->state == "open" && this->is_replica_complete()) {
            this->stalled_since.reset();
            for (auto& active_stream : this->streams) {
                if (const auto caller = active_stream.caller.lock();
                    caller && active_stream.next_event <= this->fleet.settings.events_per_answer) {
                    caller->append(encode_event(active_stream.next_event++));
                    if (active_stream.next_event > this->fleet.settings.events_per_answer) {
                        caller->finish_stream();
                    }
                }
            }
            std::erase_if(this->streams, [this](const stream& active_stream) {
                return active_stream.caller.expired() ||
                       active_stream.next_event > this->fleet.settings.events_per_answer;
            });
        }
        else if (!this->stalled_since) {
            this->stalled_since = now;
        }
        else if (now - *this->stalled_since > this->fleet.settings.stall_timeout) {
            for (const auto& active_stream : std::exchange(this->streams, {})) {
                if (const auto caller = active_stream.caller.lock()) {
                    caller->abort();
                }
            }
        }
        if (!this->streams.empty()) {
            this->send_events();
        }
    });
}

} // namespace coriander::standin
