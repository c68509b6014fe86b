#pragma once

#include "coriander/time_ms.hpp"

#include <map>
#include <optional>
#include <string>

namespace coriander {

/// Records status requests to hosts and whether their answers can be up to date. Not thread-safe.
class host_inquiries {
public:
    /// Whether to send a request now: at most one per interval, but at once if the host's replica was planned
    /// after the last request.
    [[nodiscard]] bool is_due(const std::string& host, std::optional<time_ms> planned_at, time_ms interval,
                              time_ms now) const
    {
        const auto last = this->last_sent.find(host);
        return last == this->last_sent.end() || now - last->second >= interval ||
               (planned_at && last->second < *planned_at);
    }

    void on_sent(const std::string& host, time_ms now) { this->last_sent[host] = now; }

    /// Records the answer to a request sent at `sent_at`. Returns false if the report may predate the host's
    /// last leave order.
    bool on_answer(const std::string& host, time_ms sent_at)
    {
        this->last_answered[host] = sent_at;
        const auto found = this->left_at.find(host);
        return found == this->left_at.end() || sent_at >= found->second + max_report_lag;
    }

    /// Records that the host has left its replica.
    void on_left(const std::string& host, time_ms now) { this->left_at[host] = now; }

    /// Whether the host has answered a request sent at `since` or later.
    [[nodiscard]] bool has_answered(const std::string& host, time_ms since) const
    {
        const auto found = this->last_answered.find(host);
        return found != this->last_answered.end() && found->second >= since;
    }

private:
    /// The maximum age of the report in a host's answer.
    static constexpr time_ms max_report_lag{300};

    std::map<std::string, time_ms> last_sent;
    std::map<std::string, time_ms> last_answered; ///< When the last answered request was sent.
    std::map<std::string, time_ms> left_at;
};

} // namespace coriander
