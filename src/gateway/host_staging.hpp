#pragma once

#include "coriander/replicas/domain_record.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace coriander {

/// Follows how long a domain's loads take, and bounds the loads begun by this domain's part of the weight
/// store's rate. Not thread-safe.
class host_staging {
public:
    /// Takes the record's loads as they are now, and notes those that take longer than `limit`.
    void update(const domain_record& record, time_ms limit, time_ms now)
    {
        std::set<std::string> loading;
        for (const auto& load : record.loads) {
            loading.insert(load.host);
            const auto begun = this->since.try_emplace(load.host, now).first->second;
            if (now - begun > limit) {
                this->late.insert(load.host);
            }
        }
        std::erase_if(this->since, [&](const auto& item) { return !loading.contains(item.first); });
        std::erase_if(this->late, [&](const std::string& host) { return !loading.contains(host); });
    }

    /// Hosts whose load took too long.
    [[nodiscard]] const std::set<std::string>& overdue() const noexcept { return this->late; }

    /// Whether another load may begin, and takes it off; `loads_per_s` is the domain's part of the rate. Each
    /// domain has an even part, so that owners need not agree.
    [[nodiscard]] bool take_load(double loads_per_s, time_ms now)
    {
        constexpr double most_saved = 2.0;
        this->tokens =
            this->refilled_at == time_ms{}
                ? 1.0
                : std::min(most_saved, this->tokens + loads_per_s * (now - this->refilled_at).seconds());
        this->refilled_at = now;
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    std::map<std::string, time_ms> since; ///< By host.
    std::set<std::string> late;
    double tokens = 0.0;
    time_ms refilled_at;
};

} // namespace coriander
