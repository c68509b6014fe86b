#include "runtime/log.hpp"

#include "runtime/nonblocking_stdout_appender.hpp"

#include <log4cplus/config.hxx>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <charconv>
#include <deque>
#include <mutex>

namespace coriander {
namespace {

constexpr std::size_t max_buffered_lines = 8192;

/// The latest lines, searched by `recent_lines`.
class recent_line_buffer {
public:
    void add(std::string line)
    {
        const std::scoped_lock lock{this->mutex};
        this->lines.push_back(std::move(line));
        if (this->lines.size() > max_buffered_lines) {
            this->lines.pop_front();
        }
    }

    std::vector<std::string> find(std::string_view text, std::size_t limit)
    {
        const std::scoped_lock lock{this->mutex};
        std::vector<std::string> found;
        for (auto line = this->lines.rbegin(); line != this->lines.rend() && found.size() < limit; ++line) {
            if (line->find(text) != std::string::npos) {
                found.push_back(*line);
            }
        }
        return {found.rbegin(), found.rend()};
    }

private:
    std::mutex mutex; ///< Guards `lines`. No other lock is taken while it is held.
    std::deque<std::string> lines;
};

recent_line_buffer& line_buffer()
{
    static recent_line_buffer instance;
    return instance;
}

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("coriander");
    return instance;
}

log4cplus::LogLevel to_log4cplus_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Quotes a value that is empty or contains special characters, escapes line feeds and drops other control
/// characters, so that each event stays on one line.
std::string quoted_if_needed(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
        }
        else if (c == '"' || c == '\\') {
            text += std::string{'\\', c};
        }
        else if (static_cast<unsigned char>(c) >= ' ') {
            text += c;
        }
    }
    return text + "\"";
}

} // namespace

log_field::log_field(std::string_view name, double value) : name{name}
{
    std::array<char, 32> buffer{};
    constexpr int digits = 3;
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, digits);
    this->value.assign(buffer.data(), end.ptr);
}

void open_log(const std::string& program, const std::string& level, const std::string& file)
{
    static const log4cplus::Initializer initializer;
    log4cplus::setThreadPoolSize(1); // Appenders write on the calling thread; the library's pool is unused.
    log4cplus::SharedAppenderPtr appender;
    if (file == stdout_log_file) {
        appender = new nonblocking_stdout_appender;
    }
    else if (file.empty()) {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    else {
        appender = new log4cplus::FileAppender(file, std::ios_base::app);
    }
    const auto pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + program + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void log_event(event id, std::initializer_list<log_field> fields)
{
    const auto& entry = entry_of(id);
    std::string line = "E" + std::to_string(static_cast<int>(id)) + " " + std::string{entry.name};
    for (const auto& field : fields) {
        line += " " + std::string{field.name} + "=" + quoted_if_needed(field.value);
    }
    logger().log(to_log4cplus_level(entry.level), line);
    line_buffer().add(std::move(line));
}

std::vector<std::string> recent_lines(std::string_view text, std::size_t limit)
{
    return line_buffer().find(text, limit);
}

} // namespace coriander
