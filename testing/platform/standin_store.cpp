#include "platform/standin_store.hpp"

#include "http/http_message.hpp"
#include "row_client.hpp"

#include <algorithm>
#include <chrono>

namespace coriander::standin {
namespace {

constexpr std::chrono::milliseconds reader_check{20};
constexpr std::size_t kept_changes = 4096;

} // namespace

json_object query_of(const std::string& target)
{
    http_request request;
    const auto mark = target.find('?');
    request.query = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    json_object values = json_object::object();
    for (const auto* name : {"table", "from", "after", "wait_ms", "name", "zone", "region"}) {
        values[name] = request.query_value(name);
    }
    return values;
}

void standin_store::answer(caller_connection& caller, int status, json_object body) const
{
    body["ver"] = this->version;
    body["now_ms"] = this->clock.now().count();
    caller.send(status, {{"Content-Type", "application/json"}}, to_text(body));
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
        caller->send(unavailable, {}, {});
        return;
    }
    const auto& target = request.head.target;
    if (target.starts_with("/rows-get?")) {
        this->get(*caller, query_of(target));
    }
    else if (target.starts_with("/rows-feed?")) {
        this->feed(caller, query_of(target));
    }
    else if (target == "/rows-tx") {
        this->transact(*caller, parse_object(request.body).value_or(json_object::object()));
    }
    else {
        caller->send(not_found, {}, {});
    }
}

json_object standin_store::row_text(const std::string& table, const std::string& key) const
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
            rows.push_back(this->row_text(table, key));
        }
    }
    this->answer(caller, 200, {{"rows", rows}, {"has_more", false}});
}

json_object standin_store::changes_after(const std::string& table, std::uint64_t after) const
{
    auto rows = json_object::array();
    for (auto one = this->history.rbegin(); one != this->history.rend() && one->version > after; ++one) {
        const bool is_known = std::any_of(rows.begin(), rows.end(),
                                          [&](const json_object& row) { return row["key"] == one->key; });
        if (one->table == table && !is_known) {
            auto text = this->row_text(table, one->key);
            text["ver"] = one->version;
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
    if (after < this->history_begins) {
        this->answer(*caller, gone, json_object::object());
        return;
    }
    this->readers.push_back({caller, table, after, this->clock.now() + time_ms{wait}});
    this->wake_readers();
    this->watch_readers();
}

void standin_store::wake_readers()
{
    const auto now = this->clock.now();
    for (auto one = this->readers.begin(); one != this->readers.end();) {
        const auto caller = one->caller.lock();
        const auto rows = this->changes_after(one->table, one->after);
        if (!caller || !rows.empty() || now >= one->until) {
            if (caller) {
                this->answer(*caller, 200, {{"rows", rows}});
            }
            one = this->readers.erase(one);
        }
        else {
            ++one;
        }
    }
}

void standin_store::watch_readers()
{
    if (this->readers.empty() || std::exchange(this->is_watching, true)) {
        return;
    }
    this->reader_timer.expires_after(reader_check);
    this->reader_timer.async_wait([this](const asio::error_code& cancelled) {
        this->is_watching = false;
        if (!cancelled) {
            this->wake_readers();
            this->watch_readers();
        }
    });
}

void standin_store::transact(caller_connection& caller, const json_object& transaction)
{
    constexpr int conflict = 412;
    auto current = json_object::array();
    for (const auto& condition : array_member(transaction, "expected_rev")) {
        const auto row = this->row_text(text_member(condition, "table"), text_member(condition, "key"));
        if (integer_member(row, "ver") != integer_member(condition, "ver")) {
            current.push_back(row);
        }
    }
    if (!current.empty()) {
        this->answer(caller, conflict, {{"rows", current}});
        return;
    }
    for (const auto& row : array_member(transaction, "set_keys")) {
        this->put(text_member(row, "table"), text_member(row, "key"),
                  platform::decode_base64(text_member(row, "value")));
    }
    if (this->answers_to_lose > 0) {
        --this->answers_to_lose;
        caller.abort();
        return;
    }
    this->answer(caller, 200, json_object::object());
}

void standin_store::put(const std::string& table, const std::string& key,
                        const std::optional<std::string>& value)
{
    ++this->version;
    if (value) {
        this->tables[table][key] = {*value, this->version};
    }
    else {
        this->tables[table].erase(key);
    }
    this->history.push_back({table, key, this->version});
    if (this->history.size() > kept_changes) {
        this->history_begins = this->history.front().version;
        this->history.pop_front();
    }
    if (this->mode == store_mode::sound) {
        this->wake_readers();
    }
}

void standin_store::set_mode(store_mode changed)
{
    this->mode = changed;
    if (changed == store_mode::sound) {
        return; // What was asked meanwhile stays unanswered for good.
    }
    for (const auto& one : std::exchange(this->readers, {})) {
        const auto caller = one.caller.lock();
        if (caller && changed == store_mode::silent) {
            this->unanswered.push_back(caller);
        }
        else if (caller) {
            caller->abort();
        }
    }
}

void standin_store::forget_history()
{
    this->history.clear();
    this->history_begins = ++this->version;
}

} // namespace coriander::standin
