// coriander_controller: forms replicas out of hosts and orders the engines to load models.

#include "controller/controller.hpp"
#include "coriander/build_name.hpp"
#include "coriander/clock.hpp"
#include "http/http_server.hpp"
#include "runtime/admin_pages.hpp"
#include "runtime/daemon.hpp"
#include "runtime/log.hpp"
#include "runtime/program.hpp"

namespace coriander {
namespace {

void run(const settings& values)
{
    metrics registry;
    const auto incarnation = std::to_string(wall_clock_now().count());
    controller controller_instance{values, incarnation, registry};
    const admin_pages pages{registry, [&] { return controller_instance.is_ready(); }, [] {}};
    const http_server server{values.address, values.controller_port, 1,
                             [&](const auto& request, const auto& reply) {
                                 if (!pages.handle(*request, *reply)) {
                                     reply->send({404, "text/plain", "there is no such page\n", {}});
                                 }
                             }};
    log_event(event::process_started,
              {{"name", values.name}, {"version", own_build_name()}, {"port", server.port()}});
    controller_instance.start(values.address + ":" + std::to_string(server.port()));
    wait_for_stop_signal();
    log_event(event::process_stopping, {{"name", values.name}});
    controller_instance.stop();
    log_event(event::process_stopped, {{"name", values.name}});
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    return coriander::daemon_main(argc, argv, "coriander_controller",
                                  "Forms replicas out of hosts and orders engines to load.", coriander::run);
}
