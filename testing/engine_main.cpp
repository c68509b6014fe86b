// Stand-in for model engines: one process plays one or several hosts. See docs/CONTRACTS.md.

#include "engine_host.hpp"
#include "runtime/program.hpp"
#include "standin_program.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 0, "port of the first host, the others follow; 0 picks free ones");
DEFINE_string(name, "engine", "name of the hosts; a number follows it when there are several");
DEFINE_int32(count, 1, "number of hosts that this process plays");
DEFINE_string(fabric_domain, "fabric-1", "fabric domain of the hosts");
DEFINE_string(failure_domain, "domain-1", "failure domain of the hosts");
DEFINE_string(host_list_url, "", "platform's host list to enter the hosts in");
DEFINE_int32(load_ms, 300, "milliseconds from a load order to ready");
DEFINE_int32(first_token_ms, 60, "milliseconds to the first token");
DEFINE_int32(token_ms, 10, "milliseconds between tokens");
DEFINE_int32(capacity, 16, "streams that one replica runs at once");
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
    engine_pace pace;
    pace.load_ms = FLAGS_load_ms;
    pace.first_token_ms = FLAGS_first_token_ms;
    pace.token_ms = FLAGS_token_ms;
    pace.capacity = FLAGS_capacity;
    std::vector<served_host> hosts;
    for (int i = 0; i < FLAGS_count; ++i) {
        served_host one;
        one.id = FLAGS_count == 1 ? FLAGS_name : FLAGS_name + "-" + std::to_string(i);
        one.host = std::make_unique<engine_host>(one.id, pace, client, FLAGS_exit_on_crash);
        const auto port = static_cast<std::uint16_t>(FLAGS_port == 0 ? 0 : FLAGS_port + i);
        auto* host = one.host.get();
        one.server = std::make_unique<http_server>(
            FLAGS_address, port, 1,
            [host](const auto& request, const auto& reply) { host->handle(*request, reply); });
        hosts.push_back(std::move(one));
    }
    return hosts;
}

bool enter_in_host_list(http_client& client, const served_host& one)
{
    if (FLAGS_host_list_url.empty()) {
        return true;
    }
    http_call call;
    call.method = "PUT";
    call.url = FLAGS_host_list_url + "/v1/hosts";
    call.body = to_text({{"id", one.id},
                         {"address", FLAGS_address + ":" + std::to_string(one.server->port())},
                         {"fabric_domain", FLAGS_fabric_domain},
                         {"failure_domain", FLAGS_failure_domain},
                         {"kind", "engine"},
                         {"state", "live"}});
    return client.perform(std::move(call)).ok();
}

int run()
{
    constexpr auto tick_length = std::chrono::milliseconds{2};
    constexpr int ticks_per_watch = 150;
    http_client client;
    const auto hosts = start_hosts(client);
    for (const auto& one : hosts) {
        if (!enter_in_host_list(client, one)) {
            return static_cast<int>(exit_code::unavailable);
        }
        announce(one.id, FLAGS_address, one.server->port());
    }
    std::atomic<bool> stopping{false};
    std::thread ticker{[&] {
        for (int count = 0; !stopping; ++count) {
            for (const auto& one : hosts) {
                one.host->tick();
                if (count % ticks_per_watch == 0) {
                    one.host->watch_members();
                }
            }
            std::this_thread::sleep_for(tick_length);
        }
    }};
    wait_for_stop_signal();
    stopping = true;
    ticker.join();
    // Streams still hold on to the servers; the process has nothing left to save.
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
