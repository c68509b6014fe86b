#pragma once

#include "coriander/replicas/domain_record.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace coriander {

/// Tracks how long a domain's loads take, and limits their start rate to this domain's share of the weight
/// store's rate. Not thread-safe.
class host_staging {
public:
    /// Updates the loads from the record, and marks those that take longer than `limit` as overdue.
    void update(const domain_record& record, time_ms limit, time_ms now)
    {
        std::set<std::string> loading;
        for (const auto& load : record.loads) {
            loading.insert(load.host);
            const auto started = this->started_at.try_emplace(load.host, now).first->second;
            if (now - started > limit) {
                this->overdue_hosts.insert(load.host);
            }
        }
        std::erase_if(this->started_at, [&](const auto& item) { return !loading.contains(item.first); });
        std::erase_if(this->overdue_hosts, [&](const std::string& host) { return !loading.contains(host); });
    }

    /// Hosts whose load takes too long.
    [[nodiscard]] const std::set<std::string>& overdue() const noexcept { return this->overdue_hosts; }

    /// Takes a token for one load from the domain's token bucket; false if there is none. `loads_per_s` is
    /// the domain's share of the rate. All domains have equal shares, so that owners need no coordination.
    [[nodiscard]] bool try_start_load(double loads_per_s, time_ms now)
    {
        constexpr double max_tokens = 2.0;
        this->tokens =
            this->refilled_at == time_ms{}
                ? 1.0
                : std::min(max_tokens, this->tokens + loads_per_s * (now - this->refilled_at).seconds());
        this->refilled_at = now;
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    std::map<std::string, time_ms> started_at; ///< By host.
    std::set<std::string> overdue_hosts;
    double tokens = 0.0;
    time_ms refilled_at;
};

} // namespace coriander
