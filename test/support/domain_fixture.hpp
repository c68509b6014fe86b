#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "support/fleet_samples.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// A domain of nine hosts; the first four form an open replica.
struct domain_fixture {
    domain_fixture()
    {
        std::vector<listed_host> members(this->hosts.begin(), this->hosts.begin() + 4);
        this->record.last_generation = 5;
        this->record.replicas.push_back(samples::replica_of(members, "d-5", 5, replica_phase::open));
        std::copy(members.begin(), members.end(), this->hosts.begin());
    }

    [[nodiscard]] domain_view view() const
    {
        return {&this->record,  this->hosts, &this->silent,  &this->finished,
                &this->overdue, this->now,   this->is_owner, &this->held};
    }
    [[nodiscard]] domain_decision decide() const { return plan_domain(this->view()); }

    /// Ids of the hosts that get an order of this kind.
    [[nodiscard]] std::vector<std::string> hosts_ordered_to(order_kind kind) const
    {
        std::vector<std::string> found;
        for (const auto& order : this->decide().orders) {
            if (order.kind == kind) {
                found.push_back(order.host);
            }
        }
        return found;
    }

    std::vector<listed_host> hosts = samples::free_hosts_of("d", 9, "large");
    domain_record record;
    std::map<std::string, silent_host> silent;
    time_ms now = 10_s;
    bool is_owner = true;
    std::set<std::string> finished;
    std::set<std::string> overdue;
    std::set<std::string> held;
};

} // namespace coriander
