#pragma once

#include "coriander/lost_host.hpp"
#include "coriander/relay/loss_probe.hpp"
#include "coriander/shard_choice.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Shares detected host losses between daemons. A daemon without requests on a replica does not notice that
/// the replica stalls, and a daemon that notices may be unable to reach the table; it therefore notifies the
/// daemons that act on the domain. A notified daemon probes the host itself before it treats the host as
/// lost. Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class loss_exchange {
public:
    /// `notify_change` is called when a host was found to be lost.
    loss_exchange(Io& io, fleet_view& view, std::function<void()> notify_change,
                  loss_probe_settings settings = {})
        : io{io}, view{view}, notify_change{std::move(notify_change)}, settings{settings}
    {
    }

    /// Sets the check that precedes the conclusion that a host is lost. Without it, the path is taken for
    /// granted.
    void set_path_check(const path_check& check) { this->check_path = check; }

    /// The daemons to notify of a loss in the domain: its owner and the first daemons in the order of
    /// takeover. Empty if `self` is one of them.
    [[nodiscard]] std::vector<std::string> recipients(const domain_key& key, const std::string& self) const
    {
        constexpr std::size_t successor_count = 2;
        const auto contains = [](const std::vector<std::string>& names, const std::string& name) {
            return std::find(names.begin(), names.end(), name) != names.end();
        };
        const auto daemons = this->io.daemons();
        const auto& owner = this->view.domain(key).record.owner;
        auto result = top_members(key.row_key(), daemons, successor_count);
        if (contains(daemons, owner) && !contains(result, owner)) {
            result.push_back(owner);
        }
        return contains(result, self) ? std::vector<std::string>{} : result;
    }

    /// Probes hosts that another daemon reported as lost, and marks those that do not answer as silent.
    void verify(std::span<const lost_host> hosts, time_ms now)
    {
        for (const auto& reported : hosts) {
            const auto* host = this->view.find_host(reported.id);
            const bool must_probe = host != nullptr && host->incarnation == reported.incarnation &&
                                    !this->view.is_silent(reported.id) &&
                                    !this->was_probed(reported.id, now) &&
                                    this->probing.insert(reported.id).second;
            if (must_probe) {
                this->probed_at[reported.id] = now;
                this->probe_host(std::make_shared<inquiry>(
                    inquiry{reported, {{reported.id}, this->settings.max_rounds}, now}));
            }
        }
    }

private:
    /// Many daemons report a loss at about the same time.
    static constexpr time_ms probe_interval{300};

    [[nodiscard]] bool was_probed(const std::string& id, time_ms now)
    {
        std::erase_if(this->probed_at, [&](const auto& item) { return now - item.second >= probe_interval; });
        return this->probed_at.contains(id);
    }

    struct inquiry {
        lost_host reported;
        loss_probe probes;
        time_ms started_at;
    };

    void probe_host(const std::shared_ptr<inquiry>& pending)
    {
        const auto* host = this->view.find_host(pending->reported.id);
        if (host == nullptr) {
            this->probing.erase(pending->reported.id);
            return;
        }
        this->io.probe(*host, this->settings.timeout, [this, pending](std::optional<host_status> status) {
            const bool is_same = status && status->incarnation == pending->reported.incarnation;
            pending->probes.on_ended(pending->reported.id, is_same);
            const auto verdict = pending->probes.conclude(false);
            if (verdict == loss_probe_result::probe_again) {
                this->probe_host(pending);
                return;
            }
            this->probing.erase(pending->reported.id);
            const auto* suspect = this->view.find_host(pending->reported.id);
            if (verdict == loss_probe_result::lost && suspect != nullptr) {
                this->check_path(*suspect, [this, pending](bool has_path) {
                    if (has_path) {
                        this->on_lost(*pending);
                    }
                });
            }
        });
    }

    void on_lost(const inquiry& ended)
    {
        log_silent_host(ended.reported.id, "unanswered probes", this->settings.max_rounds, this->view,
                        ended.started_at);
        this->view.mark_silent(ended.reported.id, ended.started_at);
        this->notify_change();
    }

    Io& io;
    fleet_view& view;
    std::function<void()> notify_change;
    loss_probe_settings settings;
    path_check check_path = without_path_check();
    std::map<std::string, time_ms> probed_at; ///< When inquiries about a host began, for a short while.
    std::set<std::string> probing;            ///< Hosts with a probe in flight.
};

} // namespace coriander
