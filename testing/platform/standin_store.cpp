#include "platform/standin_store.hpp"

#include "http/http_message.hpp"
#include "row_client.hpp"

#include <algorithm>
#include <chrono>

namespace coriander::standin {
namespace {

constexpr std::chrono::milliseconds long_poll_check_interval{20};
constexpr std::size_t max_history = 4096;

} // namespace

json_object parse_query(const std::string& target)
{
    http_request request;
    const auto query_start = target.find('?');
    request.query = query_start == std::string::npos ? std::string{} : target.substr(query_start + 1);
    json_object values = json_object::object();
    for (const auto* name : {"table", "from", "after", "wait_ms", "name", "zone", "region"}) {
        values[name] = request.query_value(name);
    }
    return values;
}

http_header standin_store::era_header() const
{
    return {"Store-Era", std::to_string(this->era)};
}

void standin_store::respond(caller_connection& caller, int status, json_object body) const
{
    body["ver"] = this->version;
    body["now_ms"] = this->clock.now().count();
    caller.send(status, {{"Content-Type", "application/json"}, this->era_header()}, to_text(body));
}

void standin_store::serve(const std::shared_ptr<caller_connection>& caller, const incoming_request& request)
{
    constexpr int unavailable = 503;
    constexpr int not_found = 404;
    if (this->mode == store_mode::silent) {
        this->unanswered.push_back(caller);
        return;
    }
    if (this->mode == store_mode::busy) {
        caller->send(unavailable, {this->era_header()}, {});
        return;
    }
    const auto& target = request.head.target;
    if (target.starts_with("/rows-get?")) {
        this->get(*caller, parse_query(target));
    }
    else if (target.starts_with("/rows-feed?")) {
        this->feed(caller, parse_query(target));
    }
    else if (target == "/rows-tx") {
        this->transact(*caller, parse_object(request.body).value_or(json_object::object()));
    }
    else {
        caller->send(not_found, {this->era_header()}, {});
    }
}

json_object standin_store::encode_row(const std::string& table, const std::string& key) const
{
    const auto rows = this->tables.find(table);
    json_object text{{"table", table}, {"part", ""}, {"key", key}};
    if (rows == this->tables.end() || !rows->second.contains(key)) {
        text["deleted"] = true;
        return text;
    }
    const auto& row = rows->second.at(key);
    text["value"] = platform::encode_base64(row.value);
    text["ver"] = row.version;
    return text;
}

void standin_store::get(caller_connection& caller, const json_object& query)
{
    const auto table = text_member(query, "table");
    const auto from = text_member(query, "from");
    auto rows = json_object::array();
    for (const auto& [key, row] : this->tables[table]) {
        if (key >= from) {
            rows.push_back(this->encode_row(table, key));
        }
    }
    this->respond(caller, 200, {{"rows", rows}, {"has_more", false}});
}

json_object standin_store::changes_after(const std::string& table, std::uint64_t after) const
{
    auto rows = json_object::array();
    for (auto change = this->history.rbegin(); change != this->history.rend() && change->version > after;
         ++change) {
        const bool is_known = std::any_of(rows.begin(), rows.end(),
                                          [&](const json_object& row) { return row["key"] == change->key; });
        if (change->table == table && !is_known) {
            auto text = this->encode_row(table, change->key);
            text["ver"] = change->version;
            rows.insert(rows.begin(), std::move(text));
        }
    }
    return rows;
}

void standin_store::feed(const std::shared_ptr<caller_connection>& caller, const json_object& query)
{
    constexpr int gone = 410;
    const auto table = text_member(query, "table");
    const auto after = std::stoull("0" + text_member(query, "after"));
    const auto wait = std::stoll("0" + text_member(query, "wait_ms"));
    if (after < this->history_start || after > this->version) {
        this->respond(*caller, gone, json_object::object());
        return;
    }
    this->long_polls.push_back({caller, table, after, this->clock.now() + time_ms{wait}});
    this->complete_long_polls();
    this->watch_long_polls();
}

void standin_store::complete_long_polls()
{
    const auto now = this->clock.now();
    for (auto poll = this->long_polls.begin(); poll != this->long_polls.end();) {
        const auto caller = poll->caller.lock();
        const auto rows = this->changes_after(poll->table, poll->after);
        if (!caller || !rows.empty() || now >= poll->deadline) {
            if (caller) {
                this->respond(*caller, 200, {{"rows", rows}});
            }
            poll = this->long_polls.erase(poll);
        }
        else {
            ++poll;
        }
    }
}

void standin_store::watch_long_polls()
{
    if (this->long_polls.empty() || std::exchange(this->is_watching, true)) {
        return;
    }
    this->long_poll_timer.expires_after(long_poll_check_interval);
    this->long_poll_timer.async_wait([this](const asio::error_code& cancelled) {
        this->is_watching = false;
        if (!cancelled) {
            this->complete_long_polls();
            this->watch_long_polls();
        }
    });
}

void standin_store::transact(caller_connection& caller, const json_object& transaction)
{
    constexpr int conflict = 412;
    auto current = json_object::array();
    for (const auto& condition : array_member(transaction, "expected_rev")) {
        const auto row = this->encode_row(text_member(condition, "table"), text_member(condition, "key"));
        if (integer_member(row, "ver") != integer_member(condition, "ver")) {
            current.push_back(row);
        }
    }
    if (!current.empty()) {
        this->respond(caller, conflict, {{"rows", current}});
        return;
    }
    for (const auto& row : array_member(transaction, "set_keys")) {
        this->put(text_member(row, "table"), text_member(row, "key"),
                  platform::decode_base64(text_member(row, "value")));
    }
    if (this->responses_to_drop > 0) {
        --this->responses_to_drop;
        caller.abort();
        return;
    }
    this->respond(caller, 200, json_object::object());
}

void standin_store::put(const std::string& table, const std::string& key,
                        const std::optional<std::string>& value)
{
    ++this->version;
    auto& rows = this->tables[table];
    const auto known = rows.find(key);
    this->history.push_back({table, key, this->version, this->clock.now(),
                             known == rows.end() ? std::nullopt : std::optional{known->second}});
    if (value) {
        rows[key] = {*value, this->version};
    }
    else {
        rows.erase(key);
    }
    if (this->history.size() > max_history) {
        this->history_start = this->history.front().version;
        this->history.pop_front();
    }
    if (this->mode == store_mode::sound) {
        this->complete_long_polls();
    }
}

void standin_store::set_mode(store_mode mode)
{
    this->mode = mode;
    if (mode == store_mode::sound) {
        return; // Requests received while silent are never answered.
    }
    for (const auto& poll : std::exchange(this->long_polls, {})) {
        const auto caller = poll.caller.lock();
        if (caller && mode == store_mode::silent) {
            this->unanswered.push_back(caller);
        }
        else if (caller) {
            caller->abort();
        }
    }
}

void standin_store::restore(std::uint64_t version)
{
    while (!this->history.empty() && this->history.back().version > version) {
        const auto change = std::move(this->history.back());
        this->history.pop_back();
        auto& rows = this->tables[change.table];
        if (change.before) {
            rows[change.key] = *change.before;
        }
        else {
            rows.erase(change.key);
        }
    }
    this->version = this->history.empty() ? this->history_start : this->history.back().version;
    ++this->era;
    for (const auto& poll : std::exchange(this->long_polls, {})) {
        if (const auto caller = poll.caller.lock()) {
            caller->abort();
        }
    }
}

void standin_store::restore_copy(time_ms age)
{
    const auto copied_at = this->clock.now() - age;
    auto version = this->history_start;
    for (const auto& change : this->history) {
        version = change.at <= copied_at ? change.version : version;
    }
    this->restore(version);
}

std::map<std::string, std::string> standin_store::values(const std::string& table) const
{
    std::map<std::string, std::string> found;
    const auto rows = this->tables.find(table);
    if (rows != this->tables.end()) {
        for (const auto& [key, row] : rows->second) {
            found[key] = row.value;
        }
    }
    return found;
}

void standin_store::drop_history()
{
    this->history.clear();
    this->history_start = ++this->version;
}

} // namespace coriander::standin
