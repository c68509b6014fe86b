// coriander_controller: forms replicas out of hosts and orders engines to load.

#include "controller/controller.hpp"
#include "coriander/clock.hpp"
#include "http/http_server.hpp"
#include "runtime/admin_pages.hpp"
#include "runtime/log.hpp"
#include "runtime/program.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the settings file (TOML)");

namespace coriander {
namespace {

int run()
{
    const auto values = load_settings(FLAGS_settings);
    if (!values) {
        return static_cast<int>(exit_code::bad_input);
    }
    open_log("controller", values->log_level, values->log_file);
    metrics numbers;
    const auto incarnation = std::to_string(wall_clock_now().count());
    controller one{*values, incarnation, numbers};
    const admin_pages pages{numbers, [&] { return one.is_ready(); }, [] {}};
    const http_server server{values->address, values->controller_port, 1,
                             [&](const auto& request, const auto& reply) {
                                 if (!pages.handle(*request, *reply)) {
                                     reply->send({404, "text/plain", "there is no such page\n", {}});
                                 }
                             }};
    log_event(event::process_started,
              {{"name", values->name}, {"version", CORIANDER_VERSION}, {"port", server.port()}});
    one.start(values->address + ":" + std::to_string(server.port()));
    wait_for_stop_signal();
    log_event(event::process_stopping, {{"name", values->name}});
    one.stop();
    log_event(event::process_stopped, {{"name", values->name}});
    return static_cast<int>(exit_code::ok);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    coriander::block_stop_signals();
    gflags::SetUsageMessage("Forms replicas out of hosts and orders engines to load.\n"
                            "Usage: coriander_controller --settings FILE");
    gflags::SetVersionString(CORIANDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return coriander::run();
    }
    catch (const std::exception& problem) {
        std::cerr << "coriander_controller: " << problem.what() << "\n";
        return static_cast<int>(coriander::exit_code::failed);
    }
}
