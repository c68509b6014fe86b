#pragma once

#include "coriander/replicas/listed_host.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

namespace coriander {

/// Remembers which models a domain's hosts are loading, and bounds the loads begun by this domain's part of
/// the weight store's rate. Not thread-safe.
class host_staging {
public:
    /// The model that the host holds, or was ordered to load less than `load_limit` ago.
    [[nodiscard]] std::string held_model(const listed_host& host, time_ms load_limit, time_ms now)
    {
        const auto order = this->loading.find(host.id);
        if (order != this->loading.end()) {
            const auto& model = order->second.model;
            const bool is_held =
                std::find(host.staged.begin(), host.staged.end(), model) != host.staged.end();
            if (!is_held && now - order->second.since < load_limit) {
                return model;
            }
            this->loading.erase(order);
        }
        return host.staged.empty() ? std::string{} : host.staged.back();
    }

    /// Notes that the host was ordered to load the model.
    void on_ordered(const std::string& host, const std::string& model, time_ms now)
    {
        this->loading[host] = {model, now};
        this->tokens = std::max(0.0, this->tokens - 1.0); // Loads that cost nothing leave no debt.
    }

    /// Whether another load may begin; `loads_per_s` is the domain's part of the rate. Each domain has an
    /// even part, so that owners need not agree.
    [[nodiscard]] bool may_load(double loads_per_s, time_ms now)
    {
        constexpr double most_saved = 2.0;
        this->tokens =
            this->refilled_at == time_ms{}
                ? 1.0
                : std::min(most_saved, this->tokens + loads_per_s * (now - this->refilled_at).seconds());
        this->refilled_at = now;
        return this->tokens >= 1.0;
    }

    [[nodiscard]] std::size_t loading_count() const noexcept { return this->loading.size(); }

private:
    struct staging_order {
        std::string model;
        time_ms since;
    };

    std::map<std::string, staging_order> loading;
    double tokens = 0.0;
    time_ms refilled_at;
};

} // namespace coriander
