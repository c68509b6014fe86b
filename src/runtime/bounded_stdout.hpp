#pragma once

#include "coriander/clock.hpp"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace coriander {

/// Writes log lines to standard output without ever waiting for its reader: lines beyond the rate, or that
/// the reader has not made room for, are dropped and counted. Thread-safe by the base class.
class bounded_stdout : public log4cplus::Appender {
public:
    bounded_stdout();
    ~bounded_stdout() override;
    bounded_stdout(const bounded_stdout&) = delete;
    bounded_stdout& operator=(const bounded_stdout&) = delete;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& line) override;

private:
    /// Lines a second on average, and at once: several times what a busy gateway writes.
    static constexpr double lines_per_s = 400.0;
    static constexpr double burst = 1500.0;

    bool take_allowance();
    bool write_line(const std::string& line);

    monotonic_clock clock;
    time_ms refilled_at;
    double allowance = burst;
    std::uint64_t dropped = 0;
    std::string unfinished; ///< The rest of a line that was written in part.
};

} // namespace coriander
