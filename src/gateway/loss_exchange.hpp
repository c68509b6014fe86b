#pragma once

#include "coriander/lost_host.hpp"
#include "coriander/relay/loss_probe.hpp"
#include "coriander/shard_choice.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Daemons that find a host lost tell those that can act on it: who has no request on a replica doesn't
/// notice that it stands still, and who notices may not reach the table. A daemon that is told asks the host
/// itself before it believes it. Used on the loop's thread only.
template <controller_io Io>
class loss_exchange {
public:
    /// `changed` is called when a host was found to be lost.
    loss_exchange(Io& io, fleet_view& view, std::function<void()> changed, loss_probe_settings settings = {})
        : io{io}, view{view}, changed{std::move(changed)}, settings{settings}
    {
    }

    /// The daemons that should learn of a loss in the domain: its owner, and the first that step in for it.
    /// None when `self` is one of them.
    [[nodiscard]] std::vector<std::string> listeners(const domain_key& key, const std::string& self) const
    {
        constexpr std::size_t stepping_in = 2;
        const auto holds = [](const std::vector<std::string>& names, const std::string& name) {
            return std::find(names.begin(), names.end(), name) != names.end();
        };
        const auto daemons = this->io.daemons();
        const auto& owner = this->view.domain(key).record.owner;
        auto found = shard_first(key.row_key(), daemons, stepping_in);
        if (holds(daemons, owner) && !holds(found, owner)) {
            found.push_back(owner);
        }
        return holds(found, self) ? std::vector<std::string>{} : found;
    }

    /// Asks the hosts that another daemon found lost, and takes those that don't answer as lost.
    void take(std::span<const lost_host> hosts, time_ms now)
    {
        for (const auto& told : hosts) {
            const auto* host = this->view.find_host(told.id);
            const bool is_news = host != nullptr && host->incarnation == told.incarnation &&
                                 !this->view.is_silent(told.id) && this->asked.insert(told.id).second;
            if (is_news) {
                this->ask(
                    std::make_shared<inquiry>(inquiry{told, {{told.id}, this->settings.max_rounds}, now}));
            }
        }
    }

private:
    struct inquiry {
        lost_host told;
        loss_probe questions;
        time_ms begun_at;
    };

    void ask(const std::shared_ptr<inquiry>& open)
    {
        const auto* host = this->view.find_host(open->told.id);
        if (host == nullptr) {
            this->asked.erase(open->told.id);
            return;
        }
        this->io.ask_now(*host, this->settings.timeout, [this, open](std::optional<host_status> status) {
            const bool is_same = status && status->incarnation == open->told.incarnation;
            open->questions.on_ended(open->told.id, is_same);
            const auto verdict = open->questions.conclude(false);
            if (verdict == loss_probe_result::probe_again) {
                this->ask(open);
                return;
            }
            this->asked.erase(open->told.id);
            if (verdict == loss_probe_result::lost) {
                log_silent_host(open->told.id, "unanswered questions", this->settings.max_rounds, this->view,
                                open->begun_at);
                this->view.mark_silent(open->told.id);
                this->changed();
            }
        });
    }

    Io& io;
    fleet_view& view;
    std::function<void()> changed;
    loss_probe_settings settings;
    std::set<std::string> asked; ///< Hosts that are being asked.
};

} // namespace coriander
