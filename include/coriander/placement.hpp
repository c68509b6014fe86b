#pragma once

#include "coriander/configuration.hpp"
#include "coriander/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A change of a replica that a shard's controller should make.
enum class placement_action {
    form,     ///< Give hosts to an empty place.
    replace,  ///< Put free hosts in the place of lost or leaving ones.
    drain,    ///< Send no new work; later steps follow when it is idle.
    dissolve, ///< Give all hosts back.
};

/// Why, for the decision's log line.
enum class placement_reason {
    place_empty,
    host_lost,
    host_leaving,
    not_wanted, ///< The configuration asks for fewer replicas or for none.
    profile_changed,
    no_spare, ///< A host is lost and the domain has none to take its place.
};

[[nodiscard]] const char* name_of(placement_action action) noexcept;
[[nodiscard]] const char* name_of(placement_reason reason) noexcept;

/// One decision. `hosts` are the replica's hosts afterwards, the leader first.
struct placement_step {
    placement_action action = placement_action::form;
    placement_reason reason = placement_reason::place_empty;
    std::string service;
    std::uint32_t slot = 0;
    std::string causing_host; ///< The host that caused it, if one did.
    std::vector<std::string> hosts;
};

/// How places are given to fabric domains.
enum class placement_policy {
    weighted,  ///< By the profile's weight between downtime and stranded hosts.
    first_fit, ///< The first domain with enough hosts; the baseline for measurements.
};

/// Decides what the controller of `shard` (a fabric domain) should do now.
///
/// Pure and deterministic: controllers that see the same fleet divide the empty places among the domains in
/// the same way. Steps are ordered by urgency. A replica whose work has not ended yet is not taken apart
/// unless a host of it is lost.
[[nodiscard]] std::vector<placement_step> plan_shard(const configuration& config, const fleet& fleet,
                                                     std::string_view shard,
                                                     placement_policy policy = placement_policy::weighted);

} // namespace coriander
