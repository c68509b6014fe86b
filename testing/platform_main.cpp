// Stand-in for the platform: table, object store and host list. See docs/CONTRACTS.md.

#include "core/json_text.hpp"
#include "http/http_server.hpp"
#include "platform_table.hpp"
#include "runtime/program.hpp"
#include "standin_program.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port; 0 picks a free one");
DEFINE_string(port_file, "", "file to write the port to");

namespace coriander {
namespace {

using reply_pointer = std::shared_ptr<http_reply>;

/// Injected faults that tests switch on and off.
struct platform_faults {
    std::atomic<bool> outage{false};        ///< Table and object store reject every request with 503.
    std::atomic<bool> outage_silent{false}; ///< Table and object store send no response.
    std::atomic<bool> hosts_outage{false};  ///< The host list answers 503.
    std::atomic<int> delay_ms{0};
    std::atomic<int> lose_answers{0}; ///< Number of commits to apply without a response.
    std::atomic<int> late_commits{0}; ///< Number of commits to apply after `late_ms`, without a response.
    std::atomic<int> late_ms{500};
    std::atomic<int> host_lag_ms{0};
};

class platform {
public:
    void handle(const http_request& request, const reply_pointer& reply)
    {
        if (request.path == "/fault") {
            this->set_fault(request, *reply);
            return;
        }
        if (const int delay = this->faults.delay_ms; delay > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{delay});
        }
        if (request.path.starts_with("/v1/hosts")) {
            this->handle_hosts(request, *reply);
            return;
        }
        if (this->faults.outage_silent) {
            this->hold_reply(reply);
            return;
        }
        if (this->faults.outage) {
            send_json(*reply, 503, R"({"error":"outage"})");
            return;
        }
        if (request.path == "/v1/rows") {
            this->handle_rows(request, reply);
            return;
        }
        if (request.path == "/v1/objects") {
            this->handle_objects(request, *reply);
            return;
        }
        send_json(*reply, 404, R"({"error":"no such path"})");
    }

private:
    /// Keeps the reply alive, which leaves the connection open without a response.
    void hold_reply(const reply_pointer& reply)
    {
        const std::scoped_lock lock{this->mutex};
        this->held_replies.push_back(reply);
    }

    void set_fault(const http_request& request, http_reply& reply)
    {
        const auto requested = parse_object(request.body).value_or(json_object::object());
        const auto set_flag = [&](const char* name, std::atomic<bool>& flag) {
            if (requested.contains(name)) {
                flag = bool_member(requested, name);
            }
        };
        const auto set_number = [&](const char* name, std::atomic<int>& number) {
            if (requested.contains(name)) {
                number = static_cast<int>(integer_member(requested, name));
            }
        };
        set_flag("outage", this->faults.outage);
        set_flag("outage_silent", this->faults.outage_silent);
        set_flag("hosts_outage", this->faults.hosts_outage);
        set_number("delay_ms", this->faults.delay_ms);
        set_number("lose_answers", this->faults.lose_answers);
        set_number("late_commits", this->faults.late_commits);
        set_number("late_ms", this->faults.late_ms);
        set_number("host_lag_ms", this->faults.host_lag_ms);
        send_json(reply, 200, "{}");
    }

    static json_object row_json(const table_row& row)
    {
        return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
    }

    void handle_rows(const http_request& request, const reply_pointer& reply)
    {
        if (request.method == "POST") {
            this->handle_commit(request, reply);
            return;
        }
        if (const auto key = request.query_value("key"); !key.empty()) {
            const auto row = this->table.read(key);
            const json_object found = row.value() ? row_json(*row.value()) : json_object(nullptr);
            send_json(*reply, 200, to_text({{"row", found}}));
            return;
        }
        const auto prefix = request.query_value("prefix");
        json_object rows = json_object::array();
        const auto found = this->table.scan(prefix);
        for (const auto& row : found.value()) {
            rows.push_back(row_json(row));
        }
        send_json(*reply, 200, to_text({{"rows", rows}}));
    }

    static bool consume_one(std::atomic<int>& counter)
    {
        int left = counter;
        while (left > 0) {
            if (counter.compare_exchange_weak(left, left - 1)) {
                return true;
            }
        }
        return false;
    }

    void handle_commit(const http_request& request, const reply_pointer& reply)
    {
        std::vector<table_write> writes;
        const auto body = parse_object(request.body);
        if (!body) {
            send_json(*reply, 400, R"({"error":"the body is not JSON"})");
            return;
        }
        for (const auto& item : array_member(*body, "writes")) {
            const bool has_value = item.contains("value") && item["value"].is_string();
            writes.push_back({text_member(item, "key"),
                              static_cast<std::uint64_t>(integer_member(item, "expected_version")),
                              has_value ? std::optional{text_member(item, "value")} : std::nullopt});
        }
        if (consume_one(this->faults.late_commits)) {
            this->hold_reply(reply);
            this->commit_later(std::move(writes));
            return;
        }
        const auto outcome = this->table.commit(writes);
        if (consume_one(this->faults.lose_answers)) {
            this->hold_reply(reply);
            return;
        }
        if (outcome.state == commit_state::applied) {
            send_json(*reply, 200, to_text({{"applied", true}, {"version", outcome.version}}));
            return;
        }
        json_object current = json_object::array();
        for (const auto& row : outcome.current) {
            current.push_back(row_json(row));
        }
        send_json(*reply, 409, to_text({{"applied", false}, {"current", current}}));
    }

    void commit_later(std::vector<table_write> writes)
    {
        const auto delay = std::chrono::milliseconds{this->faults.late_ms};
        std::thread{[this, delay, writes = std::move(writes)] {
            std::this_thread::sleep_for(delay);
            (void)this->table.commit(writes);
        }}.detach();
    }

    void handle_objects(const http_request& request, http_reply& reply)
    {
        const auto name = request.query_value("name");
        const std::scoped_lock lock{this->mutex};
        if (request.method == "PUT") {
            this->objects[name] = request.body;
            send_json(reply, 200, "{}");
            return;
        }
        const auto found = this->objects.find(name);
        if (found == this->objects.end()) {
            send_json(reply, 404, R"({"error":"no such object"})");
            return;
        }
        reply.send({200, "application/octet-stream", found->second, {}});
    }

    /// GET lists the hosts, PUT adds or updates the host in the body, DELETE removes the host with the id in
    /// `?id=`.
    void handle_hosts(const http_request& request, http_reply& reply)
    {
        if (request.method == "GET") {
            this->list_hosts(reply);
            return;
        }
        const std::scoped_lock lock{this->mutex};
        this->remember_previous_hosts();
        if (request.method == "DELETE") {
            this->hosts.erase(request.query_value("id"));
        }
        else if (const auto host = parse_object(request.body)) {
            this->hosts[text_member(*host, "id")].update(*host);
        }
        send_json(reply, 200, "{}");
    }

    /// Until `host_lag_ms` has passed since the last change, readers get the list as it was before that
    /// change.
    void remember_previous_hosts()
    {
        this->previous_hosts = this->hosts;
        this->changed_at = std::chrono::steady_clock::now();
    }

    void list_hosts(http_reply& reply)
    {
        if (this->faults.hosts_outage) {
            send_json(reply, 503, R"({"error":"outage"})");
            return;
        }
        const std::scoped_lock lock{this->mutex};
        const auto age = std::chrono::steady_clock::now() - this->changed_at;
        const bool is_stale = age < std::chrono::milliseconds{this->faults.host_lag_ms};
        json_object list = json_object::array();
        for (const auto& [id, host] : is_stale ? this->previous_hosts : this->hosts) {
            list.push_back(host);
        }
        send_json(reply, 200, to_text({{"hosts", list}}));
    }

    platform_faults faults;
    platform_table table;
    std::mutex mutex; ///< Guards the members below.
    std::map<std::string, std::string> objects;
    std::map<std::string, json_object> hosts;
    std::map<std::string, json_object> previous_hosts;
    std::chrono::steady_clock::time_point changed_at;
    std::vector<reply_pointer> held_replies;
};

int run()
{
    constexpr unsigned threads = 32; // Delayed responses must not block other requests.
    static platform instance;
    const http_server server{
        FLAGS_address, static_cast<std::uint16_t>(FLAGS_port), threads,
        [](const auto& request, const auto& reply) { instance.handle(*request, reply); }};
    write_port_file(FLAGS_port_file, server.port());
    print_listening_line("platform", FLAGS_address, server.port());
    wait_for_stop_signal();
    return 0;
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    coriander::block_stop_signals();
    gflags::SetUsageMessage("Stand-in for the platform's table, object store and host list.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return coriander::run();
}
