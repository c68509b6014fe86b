#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_settings.hpp"
#include "gateway/record_phases.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace coriander {

/// Tracks how long a domain's replicas have been forming, retiring or dissolving. Not thread-safe.
class replica_timing {
public:
    /// Updates the replicas from the record, and marks those that exceed their time limit as finished.
    void update(const domain_record& record, const engine_profile& engine,
                const controller_settings& settings, bool loads_are_cheap, time_ms now)
    {
        std::set<std::string> seen;
        for (const auto& replica : record.replicas) {
            const bool is_forming = joins_hosts(replica.phase);
            if (!is_forming && !ends_requests(replica.phase)) {
                continue;
            }
            const auto id = key_of(replica.name, is_forming ? replica_phase::forming : replica.phase);
            seen.insert(id);
            const auto started = this->started_at.try_emplace(id, now).first->second;
            const auto limit = is_forming ? forming_limit(engine, replica.model, settings, loads_are_cheap)
                                          : settings.retiring_timeout;
            if (now - started > limit) {
                this->finished_replicas.insert(replica.name);
            }
        }
        std::erase_if(this->started_at, [&](const auto& item) { return !seen.contains(item.first); });
        std::erase_if(this->finished_replicas, [&](const std::string& name) {
            return std::none_of(record.replicas.begin(), record.replicas.end(),
                                [&](const replica_entry& one) { return one.name == name; });
        });
    }

    /// Records that a retiring or dissolving replica has no requests left.
    void on_idle(const std::string& replica) { this->finished_replicas.insert(replica); }

    /// Replicas that have no requests left or have exceeded their time limit.
    [[nodiscard]] const std::set<std::string>& finished() const noexcept { return this->finished_replicas; }

    /// When the replica began to form; `std::nullopt` if it is not forming.
    [[nodiscard]] std::optional<time_ms> forming_since(const std::string& replica) const
    {
        return this->since(replica, replica_phase::forming);
    }

    /// When the replica began to be dissolved; `std::nullopt` if it is not being dissolved.
    [[nodiscard]] std::optional<time_ms> dissolving_since(const std::string& replica) const
    {
        return this->since(replica, replica_phase::dissolving);
    }

private:
    [[nodiscard]] std::optional<time_ms> since(const std::string& replica, replica_phase phase) const
    {
        const auto found = this->started_at.find(key_of(replica, phase));
        return found == this->started_at.end() ? std::nullopt : std::optional{found->second};
    }

    /// Whether hosts get join orders in this phase.
    static bool joins_hosts(replica_phase phase)
    {
        return phase == replica_phase::forming || phase == replica_phase::warming;
    }

    static std::string key_of(const std::string& replica, replica_phase phase)
    {
        return replica + "/" + name_of(phase);
    }

    static time_ms forming_limit(const engine_profile& engine, const std::string& model,
                                 const controller_settings& settings, bool loads_are_cheap)
    {
        if (const auto* profile = find_model(engine, model)) {
            const auto load = loads_are_cheap ? profile->load_time : profile->staged_load_time;
            return load + engine.forming_time + settings.forming_margin;
        }
        return settings.forming_margin;
    }

    std::map<std::string, time_ms> started_at; ///< By replica and phase.
    std::set<std::string> finished_replicas;
};

} // namespace coriander
