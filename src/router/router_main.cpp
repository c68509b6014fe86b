// coriander_router: takes callers' requests and routes them to targets.

#include "router/router.hpp"
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
    open_log("router", values->log_level, values->log_file);
    router one{*values};
    one.start();
    wait_for_stop_signal();
    one.stop();
    return static_cast<int>(exit_code::ok);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    coriander::block_stop_signals();
    gflags::SetUsageMessage("Takes callers' requests and routes them to targets.\n"
                            "Usage: coriander_router --settings FILE");
    gflags::SetVersionString(CORIANDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return coriander::run();
    }
    catch (const std::exception& problem) {
        std::cerr << "coriander_router: " << problem.what() << "\n";
        return static_cast<int>(coriander::exit_code::failed);
    }
}
