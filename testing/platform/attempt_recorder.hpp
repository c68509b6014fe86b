#pragma once

#include "core/json_text.hpp"
#include "coriander/clock.hpp"

#include <fstream>
#include <string>
#include <utility>

namespace coriander::standin {

/// What a caller saw of one attempt. Times are wall-clock times, as in the gateways' logs.
struct attempt_record {
    std::string id;
    std::string request; ///< The same for all attempts of a request.
    std::string kind;
    std::string model;
    std::string gateway; ///< `IP:port` of the entry host.
    bool is_reused = false;
    time_ms sent_at;
    time_ms deadline;
    time_ms first_byte_at; ///< Zero without one.
    std::string end;       ///< "complete", "wrong", "refused", "error", "cut", "malformed", "not_sent" or
                           ///< "no_answer".
    int status = 0;
    std::string retry_after;
    std::size_t events = 0;
};

/// Appends a line of JSON for each attempt, and for each request that was given up, to a file. Used on one
/// thread only.
class attempt_recorder {
public:
    /// With an empty path nothing is written.
    explicit attempt_recorder(const std::string& path)
    {
        if (!path.empty()) {
            this->file.open(path, std::ios::app);
        }
    }

    void write(const attempt_record& one)
    {
        this->write_line({{"id", one.id},
                          {"request", one.request},
                          {"kind", one.kind},
                          {"model", one.model},
                          {"gateway", one.gateway},
                          {"reused", one.is_reused},
                          {"sent_at", one.sent_at.count()},
                          {"deadline", one.deadline.count()},
                          {"first_byte_at", one.first_byte_at.count()},
                          {"end_at", wall_clock_now().count()},
                          {"end", one.end},
                          {"status", one.status},
                          {"retry_after", one.retry_after},
                          {"events", one.events}});
    }

    /// A request that gets no further attempt though none was answered with success.
    void write_given_up(const std::string& request, const std::string& kind)
    {
        this->write_line(
            {{"request", request}, {"kind", kind}, {"end_at", wall_clock_now().count()}, {"end", "gave_up"}});
    }

private:
    void write_line(const json_object& line)
    {
        if (this->file.is_open()) {
            this->file << to_text(line) << '\n';
        }
    }

    std::ofstream file;
};

} // namespace coriander::standin
