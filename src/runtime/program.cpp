#include "runtime/program.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace coriander {
namespace {

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream file{path};
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return std::nullopt;
    }
    return content.str();
}

std::optional<settings> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": the settings file can't be read or is empty\n";
        return std::nullopt;
    }
    auto checked = parse_settings(*text, path);
    if (!checked.faults.empty()) {
        std::cerr << findings_text(std::move(checked.faults));
        return std::nullopt;
    }
    return std::move(checked.values);
}

void block_stop_signals()
{
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): no handler is set.
}

void wait_for_stop_signal()
{
    const auto signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace coriander
