#include "runtime/nonblocking_stdout_appender.hpp"

#include "coriander/event.hpp"

#include <log4cplus/layout.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace coriander {

nonblocking_stdout_appender::nonblocking_stdout_appender() : refilled_at{this->clock.now()}
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

nonblocking_stdout_appender::~nonblocking_stdout_appender()
{
    this->destructorImpl();
}

void nonblocking_stdout_appender::close()
{
    this->closed = true;
}

bool nonblocking_stdout_appender::take_token()
{
    const auto now = this->clock.now();
    this->available_tokens =
        std::min(burst, this->available_tokens + lines_per_s * (now - this->refilled_at).seconds());
    this->refilled_at = now;
    if (this->available_tokens < 1.0) {
        return false;
    }
    this->available_tokens -= 1.0;
    return true;
}

bool nonblocking_stdout_appender::write_line(const std::string& line)
{
    // The rest of a partially written line goes first, so that lines do not run together.
    if (!this->partial_line.empty()) {
        const auto written = ::write(STDOUT_FILENO, this->partial_line.data(), this->partial_line.size());
        this->partial_line.erase(0, static_cast<std::size_t>(std::max<ssize_t>(0, written)));
        if (!this->partial_line.empty()) {
            return false;
        }
    }
    const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written <= 0) {
        return false;
    }
    this->partial_line = line.substr(static_cast<std::size_t>(written));
    return true;
}

void nonblocking_stdout_appender::append(const log4cplus::spi::InternalLoggingEvent& line)
{
    if (!this->take_token()) {
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
