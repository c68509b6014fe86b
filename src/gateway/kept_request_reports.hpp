#pragma once

#include "coriander/replicas/kept_requests.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/relay_context.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace coriander {

/// Reports to the owners of domains which dissolving replicas still have requests of this daemon. Their hosts
/// may be sound, and would cut the requests if they were ordered to leave. Not thread-safe: used on the event
/// loop's thread only.
class kept_request_reports {
public:
    /// Sends a report to the daemon with this name, which may be this one.
    using sender = std::function<void(const std::string& owner, const kept_requests&)>;

    kept_request_reports(const relay_context& context, const fleet_view& view, sender send)
        : context{context}, view{view}, send{std::move(send)}
    {
    }

    /// Sends the reports on a service's replicas that are due; call frequently while requests are open.
    void check(const std::string& service, time_ms now)
    {
        const auto state = this->context.services.find(service);
        if (state == this->context.services.end() || !has_unlisted_target(state->second)) {
            return;
        }
        for (const auto& key : this->view.domains_of(service)) {
            const auto& record = this->view.domain(key).record;
            for (const auto& replica : record.replicas) {
                const bool is_kept = replica.phase == replica_phase::dissolving &&
                                     (state->second.sessions.contains(replica.name) ||
                                      state->second.held.contains(replica.name));
                if (is_kept && this->is_due(replica.name, now)) {
                    this->send(record.owner, {key.row_key(), replica.name});
                }
            }
        }
        std::erase_if(this->last_sent, [&](const auto& item) { return now - item.second > interval; });
    }

private:
    /// Several reports arrive while one counts.
    static constexpr time_ms interval{100};

    /// Whether requests are on a target that gets no new ones, as a dissolving replica does not. Seldom so,
    /// while going through all domains takes time.
    [[nodiscard]] static bool has_unlisted_target(const service_state& state)
    {
        return std::any_of(state.sessions.begin(), state.sessions.end(),
                           [&](const auto& item) { return !state.board.is_listed(item.first); }) ||
               std::any_of(state.held.begin(), state.held.end(),
                           [&](const std::string& target) { return !state.board.is_listed(target); });
    }

    [[nodiscard]] bool is_due(const std::string& replica, time_ms now)
    {
        const auto [last, is_first] = this->last_sent.try_emplace(replica, now);
        const bool is_due = is_first || now - last->second >= interval;
        last->second = is_due ? now : last->second;
        return is_due;
    }

    const relay_context& context;
    const fleet_view& view;
    sender send;
    std::map<std::string, time_ms> last_sent; ///< By replica.
};

} // namespace coriander
