#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/row_version.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_settings.hpp"
#include "gateway/host_inquiries.hpp"
#include "gateway/host_staging.hpp"
#include "gateway/order_history.hpp"
#include "gateway/replica_timing.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A controller's state for one domain.
struct domain_work {
    bool is_committing = false;
    /// The view's counter of changes at which nothing was to be done in another daemon's domain, so that
    /// there is nothing until the next change.
    std::optional<std::uint64_t> idle_at;
    bool is_outdated = false; ///< Waits for a newer record, as logged last.
    time_ms next_commit_at;
    unsigned failed_commits = 0; ///< In a row, without an answer of the table.
    time_ms next_warming_at;
    std::string due_signature; ///< Describes the work that was due at the last check.
    time_ms due_since;
    order_history orders;
    host_staging staging;
    host_inquiries status_requests;
    replica_timing timing;
    std::string logged_free_hosts;           ///< Models held by the free hosts, as logged last.
    std::vector<std::string> logged_waiting; ///< Dissolving replicas that wait, as logged last.
    std::vector<std::string> logged_held;    ///< Replicas that are held, as logged last.

    std::map<std::string, time_ms> kept_until; ///< Until when reports of kept requests count, by replica.

    /// Notes which dissolving replicas have no requests that a daemon keeps there. The absence of reports
    /// says so only if all daemons report.
    void update_kept(const domain_record& record, const controller_settings& settings,
                     const std::function<bool()>& do_all_report, time_ms now)
    {
        for (const auto& replica : record.replicas) {
            const auto since = this->timing.dissolving_since(replica.name);
            const auto kept = this->kept_until.find(replica.name);
            const bool is_kept = kept != this->kept_until.end() && now < kept->second;
            const bool is_due = since && now - *since >= settings.kept_report_wait;
            if (is_due && !is_kept && do_all_report()) {
                this->timing.on_idle(replica.name);
            }
        }
        std::erase_if(this->kept_until, [&](const auto& item) { return now >= item.second; });
    }

    /// Whether the host has reported its state since the replica of the order was planned.
    [[nodiscard]] bool has_reported(const host_order& order) const
    {
        const auto planned = this->timing.forming_since(order.replica);
        return planned && this->status_requests.has_answered(order.host, *planned);
    }
};

/// Describes the work that is due in a domain, so that a change of it can be noticed.
[[nodiscard]] inline std::string due_signature_of(row_version version, const domain_decision& decision)
{
    auto text = std::to_string(version.era) + "." + std::to_string(version.number);
    for (const auto& reason : decision.reasons) {
        text += "|" + reason.text;
    }
    for (const auto& order : decision.orders) {
        text += "|" + std::string{name_of(order.kind)} + order.host + std::to_string(order.generation);
    }
    return text;
}

} // namespace coriander
