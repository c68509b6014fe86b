#include "runtime/daemon.hpp"

#include "runtime/command_line.hpp"
#include "runtime/log.hpp"
#include "runtime/program.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the settings file (TOML)");

namespace coriander {

int daemon_main(int argc, char** argv, const std::string& name, const std::string& summary,
                const std::function<void(const settings&)>& run)
{
    block_stop_signals();
    const auto positional = parse_command_line(argc, argv, summary + "\nUsage: " + name + " --settings FILE");
    if (!positional.empty()) {
        std::cerr << name << ": '" << positional.front() << "' is not a flag; see '" << name << " --help'\n";
        return static_cast<int>(exit_code::bad_input);
    }
    const auto values = load_settings(FLAGS_settings);
    if (!values) {
        return static_cast<int>(exit_code::bad_input);
    }
    try {
        open_log(name, values->log_level, values->log_file);
        run(*values);
        return static_cast<int>(exit_code::ok);
    }
    catch (const std::exception& failure) {
        std::cerr << name << ": " << failure.what() << "\n";
        return static_cast<int>(exit_code::failed);
    }
}

} // namespace coriander
