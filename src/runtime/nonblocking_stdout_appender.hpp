#pragma once

#include "coriander/clock.hpp"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace coriander {

/// Writes log lines to standard output without blocking: lines above the rate limit, and lines that do not
/// fit because the reader is too slow, are dropped and counted. Thread-safe by the base class.
class nonblocking_stdout_appender : public log4cplus::Appender {
public:
    nonblocking_stdout_appender();
    ~nonblocking_stdout_appender() override;
    nonblocking_stdout_appender(const nonblocking_stdout_appender&) = delete;
    nonblocking_stdout_appender& operator=(const nonblocking_stdout_appender&) = delete;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& line) override;

private:
    /// Rate and size of the token bucket, in lines: several times what a busy gateway writes.
    static constexpr double lines_per_s = 400.0;
    static constexpr double burst = 1500.0;

    bool take_token();
    bool write_line(const std::string& line);

    monotonic_clock clock;
    time_ms refilled_at;
    double available_tokens = burst;
    std::uint64_t dropped = 0;
    std::string partial_line; ///< The unwritten rest of the last line.
};

} // namespace coriander
