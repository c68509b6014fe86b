#pragma once

#include "coriander/configuration.hpp"
#include "coriander/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Change that a shard's controller should make to a replica.
enum class placement_action {
    form,     ///< Assign hosts to an empty slot.
    replace,  ///< Replace lost or leaving hosts by free ones.
    drain,    ///< Send no new work; further steps follow once the replica is idle.
    dissolve, ///< Release all hosts.
};

/// Reason for a change, for log lines.
enum class placement_reason {
    place_empty,
    host_lost,
    host_leaving,
    not_wanted, ///< The configuration asks for fewer replicas or none.
    profile_changed,
    no_spare, ///< A host is lost and the domain has no free host to replace it.
};

[[nodiscard]] const char* name_of(placement_action action) noexcept;
[[nodiscard]] const char* name_of(placement_reason reason) noexcept;

/// One planned change. `hosts` are the replica's hosts after the change, the leader first.
struct placement_step {
    placement_action action = placement_action::form;
    placement_reason reason = placement_reason::place_empty;
    std::string service;
    std::uint32_t slot = 0;
    std::string causing_host; ///< The host that caused the change, if any.
    std::vector<std::string> hosts;
};

/// How empty slots are assigned to fabric domains.
enum class placement_policy {
    weighted,  ///< Lowest cost, by the profile's weight between downtime and stranded hosts.
    first_fit, ///< The first domain with enough hosts; baseline for measurements.
};

/// Plans the next steps of the controller of `shard` (a fabric domain).
///
/// Pure and deterministic: controllers that see the same fleet assign the empty slots to the same domains.
/// Steps are ordered by urgency. A replica with requests in progress is not dissolved unless one of its hosts
/// is lost.
[[nodiscard]] std::vector<placement_step> plan_shard(const configuration& config, const fleet& fleet,
                                                     std::string_view shard,
                                                     placement_policy policy = placement_policy::weighted);

} // namespace coriander
