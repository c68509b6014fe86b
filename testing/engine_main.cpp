// Stand-in for model engines: one process simulates one or more hosts. See docs/CONTRACTS.md.

#include "engine_host.hpp"
#include "runtime/program.hpp"
#include "standin_program.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port of the first host; the others use the ports after it; 0 picks free ports");
DEFINE_string(name, "engine", "host name; with several hosts, a number is appended");
DEFINE_int32(count, 1, "number of hosts that this process simulates");
DEFINE_string(fabric_domain, "fabric-1", "fabric domain of the hosts");
DEFINE_string(failure_domain, "domain-1", "failure domain of the hosts");
DEFINE_string(host_list_url, "", "URL of the platform's host list to register the hosts in");
DEFINE_int32(load_ms, 300, "milliseconds from a load order until ready");
DEFINE_int32(first_token_ms, 60, "milliseconds to the first token");
DEFINE_int32(token_ms, 10, "milliseconds between tokens");
DEFINE_int32(capacity, 16, "concurrent streams of a replica");
DEFINE_bool(exit_on_crash, false, "whether a crash ends the process");

namespace coriander {
namespace {

struct served_host {
    std::string id;
    std::unique_ptr<engine_host> host;
    std::unique_ptr<http_server> server;
};

std::vector<served_host> start_hosts(http_client& client)
{
    engine_settings settings;
    settings.load_ms = FLAGS_load_ms;
    settings.first_token_ms = FLAGS_first_token_ms;
    settings.token_ms = FLAGS_token_ms;
    settings.capacity = FLAGS_capacity;
    std::vector<served_host> hosts;
    for (int i = 0; i < FLAGS_count; ++i) {
        served_host host_entry;
        host_entry.id = FLAGS_count == 1 ? FLAGS_name : FLAGS_name + "-" + std::to_string(i);
        host_entry.host = std::make_unique<engine_host>(host_entry.id, settings, client, FLAGS_exit_on_crash);
        const auto port = static_cast<std::uint16_t>(FLAGS_port == 0 ? 0 : FLAGS_port + i);
        auto* host = host_entry.host.get();
        host_entry.server = std::make_unique<http_server>(
            FLAGS_address, port, 1,
            [host](const auto& request, const auto& reply) { host->handle(*request, reply); });
        hosts.push_back(std::move(host_entry));
    }
    return hosts;
}

bool register_host(http_client& client, const served_host& host_entry)
{
    if (FLAGS_host_list_url.empty()) {
        return true;
    }
    http_call call;
    call.method = "PUT";
    call.url = FLAGS_host_list_url + "/v1/hosts";
    call.body = to_text({{"id", host_entry.id},
                         {"address", FLAGS_address + ":" + std::to_string(host_entry.server->port())},
                         {"fabric_domain", FLAGS_fabric_domain},
                         {"failure_domain", FLAGS_failure_domain},
                         {"kind", "engine"},
                         {"state", "live"}});
    return client.perform(std::move(call)).ok();
}

int run()
{
    constexpr auto tick_interval = std::chrono::milliseconds{2};
    constexpr int ticks_per_member_check = 150;
    http_client client;
    const auto hosts = start_hosts(client);
    for (const auto& host_entry : hosts) {
        if (!register_host(client, host_entry)) {
            return static_cast<int>(exit_code::unavailable);
        }
        print_listening_line(host_entry.id, FLAGS_address, host_entry.server->port());
    }
    std::atomic<bool> stopping{false};
    std::thread tick_thread{[&] {
        for (int count = 0; !stopping; ++count) {
            for (const auto& host_entry : hosts) {
                host_entry.host->tick();
                if (count % ticks_per_member_check == 0) {
                    host_entry.host->check_members();
                }
            }
            std::this_thread::sleep_for(tick_interval);
        }
    }};
    wait_for_stop_signal();
    stopping = true;
    tick_thread.join();
    // Open streams still refer to the servers, and there is no state to save, so no destructors are run.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    coriander::block_stop_signals();
    gflags::SetUsageMessage("Stand-in for model engines.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return coriander::run();
}
