#pragma once

#include "coriander/time_ms.hpp"

#include <map>
#include <optional>
#include <string>

namespace coriander {

/// Remembers when hosts were asked for their state and what their answers can still tell. Not thread-safe.
class host_inquiries {
public:
    /// Whether to ask the host now: at most once an interval, but at once when its replica was planned after
    /// the last question.
    [[nodiscard]] bool is_due(const std::string& host, std::optional<time_ms> planned, time_ms interval,
                              time_ms now) const
    {
        const auto last = this->asked.find(host);
        return last == this->asked.end() || now - last->second >= interval ||
               (planned && last->second < *planned);
    }

    void on_asked(const std::string& host, time_ms now) { this->asked[host] = now; }

    /// Notes an answer to a question of `asked_at`. Returns whether it is newer than the host's last order to
    /// leave: a report may lag behind it.
    bool on_told(const std::string& host, time_ms asked_at)
    {
        this->told[host] = asked_at;
        const auto freed = this->left.find(host);
        return freed == this->left.end() || asked_at >= freed->second + report_lag;
    }

    /// Notes that the host has left its replica.
    void on_left(const std::string& host, time_ms now) { this->left[host] = now; }

    /// Whether the host has told its state at `since` or later.
    [[nodiscard]] bool has_told(const std::string& host, time_ms since) const
    {
        const auto found = this->told.find(host);
        return found != this->told.end() && found->second >= since;
    }

private:
    /// A host's report is at most so much older than its answer.
    static constexpr time_ms report_lag{300};

    std::map<std::string, time_ms> asked;
    std::map<std::string, time_ms> told; ///< When the question that a host answered last was sent.
    std::map<std::string, time_ms> left;
};

} // namespace coriander
