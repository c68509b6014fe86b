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

std::chrono::milliseconds to_chrono(time_ms length)
{
    return std::chrono::milliseconds{length.count()};
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
        if (started_incarnation != this->incarnation || this->is_lost) {
            return;
        }
        if (this->is_unresponsive) {
            this->overdue_actions.push_back(action);
            return;
        }
        action();
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
    this->is_lost = true;
    this->streams.clear();
    this->overdue_actions.clear();
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
    this->close_connections();
    const auto timer =
        std::make_shared<asio::steady_timer>(this->loop, to_chrono(this->fleet.settings.crash_downtime));
    timer->async_wait([timer, this](const asio::error_code&) {
        this->listen();
        this->restart();
    });
}

void standin_host::close_connections()
{
    for (const auto& connection : std::exchange(this->connections, {})) {
        if (const auto caller = connection.lock()) {
            caller->abort();
        }
    }
}

void standin_host::restart()
{
    this->is_unresponsive = false;
    this->is_lost = false;
    this->is_draining = false;
    this->incarnation += 1000;
    this->orders_accepted = 0;
    this->heartbeats = 0;
    this->overdue_actions.clear();
    this->end_membership();
    this->close_connections();
    this->staged.clear();
    this->own_statements.clear();
    for (const auto& [caller, request] : std::exchange(this->unanswered, {})) {
        caller->abort();
    }
    this->write_entry();
}

void standin_host::resume()
{
    if (this->is_lost) {
        return;
    }
    this->is_unresponsive = false;
    for (const auto& action : std::exchange(this->overdue_actions, {})) {
        action();
    }
    for (const auto& [caller, request] : std::exchange(this->unanswered, {})) {
        if (!caller->has_caller_disconnected()) {
            this->serve(caller, request);
        }
    }
}

void standin_host::set_rate_limit(double per_second)
{
    this->rate_limit = per_second;
    this->limited_since = this->fleet.now();
    this->arrivals.clear();
}

void standin_host::count_arrival()
{
    const auto now = this->fleet.now();
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

bool standin_host::is_member(const std::string& replica, std::uint64_t generation) const
{
    return this->membership && this->membership->replica == replica &&
           this->membership->generation == generation;
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
    const auto replica = text_member(order, "group");
    const auto generation = static_cast<std::uint64_t>(integer_member(order, "epoch"));
    if (!this->is_member(replica, generation)) {
        return conflict_status;
    }
    if (op == "leave") {
        this->end_membership();
        this->record_membership();
        return accepted_status;
    }
    if (this->membership->state == "open") {
        return ok_status;
    }
    if (op != "open" || this->membership->state != "ready") {
        return conflict_status;
    }
    this->run_after(this->fleet.settings.open_time, [this, replica, generation] {
        if (this->is_member(replica, generation)) {
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
    if (this->is_member(joined.replica, joined.generation)) {
        return ok_status;
    }
    if (this->membership) {
        const auto* leader = this->fleet.hosts.at(this->membership->members.front());
        this->fleet.joined_while_open += leader->leads_open_replica() ? 1 : 0;
    }
    const bool is_staged =
        std::find(this->staged.begin(), this->staged.end(), joined.model) != this->staged.end();
    this->end_membership();
    const auto replica = joined.replica;
    const auto generation = joined.generation;
    this->membership = std::move(joined);
    this->record_membership();
    this->run_after(is_staged ? this->fleet.settings.staged_join_time : this->fleet.settings.load_time,
                    [this, replica, generation] {
                        if (this->is_member(replica, generation)) {
                            this->staged = {this->membership->model};
                            this->membership->state = "ready";
                            this->write_entry();
                        }
                    });
    return accepted_status;
}

} // namespace coriander::standin
