// coriander_router: accepts callers' requests and routes them to targets.

#include "router/router.hpp"
#include "runtime/daemon.hpp"
#include "runtime/program.hpp"

int main(int argc, char** argv)
{
    return coriander::daemon_main(argc, argv, "coriander_router",
                                  "Accepts callers' requests and routes them to targets.",
                                  [](const coriander::settings& values) {
                                      coriander::router instance{values};
                                      instance.start();
                                      coriander::wait_for_stop_signal();
                                      instance.stop();
                                  });
}
