#include "runtime/bounded_stdout.hpp"

#include "coriander/event.hpp"

#include <log4cplus/layout.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace coriander {

bounded_stdout::bounded_stdout() : refilled_at{this->clock.now()}
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bounded_stdout::~bounded_stdout()
{
    this->destructorImpl();
}

void bounded_stdout::close()
{
    this->closed = true;
}

bool bounded_stdout::take_allowance()
{
    const auto now = this->clock.now();
    this->allowance = std::min(burst, this->allowance + lines_per_s * (now - this->refilled_at).seconds());
    this->refilled_at = now;
    if (this->allowance < 1.0) {
        return false;
    }
    this->allowance -= 1.0;
    return true;
}

bool bounded_stdout::write_line(const std::string& line)
{
    // A line that was cut is finished first, so that no two lines run into each other.
    if (!this->unfinished.empty()) {
        const auto written = ::write(STDOUT_FILENO, this->unfinished.data(), this->unfinished.size());
        this->unfinished.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, written)));
        if (!this->unfinished.empty()) {
            return false;
        }
    }
    const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written <= 0) {
        return false;
    }
    this->unfinished = line.substr(static_cast<std::size_t>(written));
    return true;
}

void bounded_stdout::append(const log4cplus::spi::InternalLoggingEvent& line)
{
    if (!this->take_allowance()) {
        ++this->dropped;
        return;
    }
    std::ostringstream text;
    this->layout->formatAndAppend(text, line);
    if (this->dropped > 0) {
        const auto& entry = entry_of(event::log_lines_dropped);
        const auto notice = "E" + std::to_string(static_cast<int>(entry.id)) + " " + std::string{entry.name} +
                            " lines=" + std::to_string(this->dropped) + "\n";
        if (this->write_line(notice)) {
            this->dropped = 0;
        }
    }
    this->dropped += this->write_line(text.str()) ? 0 : 1;
}

} // namespace coriander
