// Stand-in for a plain service: keeps bookings in memory and counts how often each one ran. See
// docs/CONTRACTS.md.

#include "core/json_text.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "runtime/program.hpp"
#include "standin_program.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port; 0 picks a free one");
DEFINE_string(name, "plain", "name of the host");
DEFINE_string(service, "parts", "service that this host is a target of");
DEFINE_string(failure_domain, "domain-1", "failure domain of the host");
DEFINE_string(host_list_url, "", "URL of the platform's host list to register the host in");
DEFINE_string(journal, "", "file to append a line to for each booking that ran");

namespace coriander {
namespace {

class plain_service {
public:
    void handle(const http_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (request.path == "/fault") {
            this->set_fault(request, *reply);
            return;
        }
        if (request.path == "/health") {
            send_json(*reply, 200, to_text({{"running", 0}, {"queued", 0}}));
            return;
        }
        if (request.path == "/book") {
            this->book(request, reply);
            return;
        }
        if (request.path == "/stock") {
            this->apply_delay();
            send_json(*reply, 200, to_text({{"part", request.query_value("part")}, {"stock", 3}}));
            return;
        }
        if (request.path == "/runs") {
            this->list_runs(*reply);
            return;
        }
        send_json(*reply, 404, R"({"error":"no such path"})");
    }

private:
    void apply_delay() const
    {
        if (const int delay = this->delay_ms; delay > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{delay});
        }
    }

    void book(const http_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const auto body = parse_object(request.body).value_or(json_object::object());
        const auto reference = text_member(body, "reference");
        int runs = 0;
        {
            const std::scoped_lock lock{this->mutex};
            runs = ++this->run_counts[reference];
            if (!FLAGS_journal.empty()) {
                std::ofstream{FLAGS_journal, std::ios::app} << reference << "\n";
            }
        }
        this->apply_delay();
        if (this->die_after_run) {
            std::_Exit(EXIT_FAILURE);
        }
        if (this->lose_answer) {
            const std::scoped_lock lock{this->mutex};
            this->held_replies.push_back(reply);
            return;
        }
        send_json(*reply, 200, to_text({{"booked", reference}, {"run", runs}, {"by", FLAGS_name}}));
    }

    void list_runs(http_reply& reply)
    {
        const std::scoped_lock lock{this->mutex};
        send_json(reply, 200, to_text(json_object(this->run_counts)));
    }

    void set_fault(const http_request& request, http_reply& reply)
    {
        const auto requested = parse_object(request.body).value_or(json_object::object());
        if (requested.contains("delay_ms")) {
            this->delay_ms = static_cast<int>(integer_member(requested, "delay_ms"));
        }
        if (requested.contains("lose_answer")) {
            this->lose_answer = bool_member(requested, "lose_answer");
        }
        if (requested.contains("die_after_run")) {
            this->die_after_run = bool_member(requested, "die_after_run");
        }
        send_json(reply, 200, "{}");
    }

    std::atomic<int> delay_ms{0};
    std::atomic<bool> lose_answer{false};
    std::atomic<bool> die_after_run{false};
    std::mutex mutex; ///< Guards the members below.
    std::map<std::string, int> run_counts;
    std::vector<std::shared_ptr<http_reply>> held_replies;
};

int run()
{
    constexpr unsigned threads = 8;
    static plain_service instance;
    const http_server server{
        FLAGS_address, static_cast<std::uint16_t>(FLAGS_port), threads,
        [](const auto& request, const auto& reply) { instance.handle(*request, reply); }};
    if (!FLAGS_host_list_url.empty()) {
        http_client client;
        http_call call;
        call.method = "PUT";
        call.url = FLAGS_host_list_url + "/v1/hosts";
        call.body = to_text({{"id", FLAGS_name},
                             {"address", FLAGS_address + ":" + std::to_string(server.port())},
                             {"failure_domain", FLAGS_failure_domain},
                             {"service", FLAGS_service},
                             {"kind", "plain"},
                             {"state", "live"}});
        if (!client.perform(std::move(call)).ok()) {
            return static_cast<int>(exit_code::unavailable);
        }
    }
    print_listening_line(FLAGS_name, FLAGS_address, server.port());
    wait_for_stop_signal();
    std::_Exit(EXIT_SUCCESS);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    coriander::block_stop_signals();
    gflags::SetUsageMessage("Stand-in for a plain service.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return coriander::run();
}
