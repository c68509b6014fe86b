#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// The free hosts and the replicas of a fabric domain.
struct domain_capacity {
    std::string domain;
    std::size_t free = 0;
    std::map<std::string, std::size_t> staged;  ///< Number of free hosts that hold each model.
    std::map<std::string, std::size_t> running; ///< Number of its replicas by model.
    std::string failure_domain{};               ///< Failure domain of its hosts.
};

/// Required and available replicas and hosts of the fleet.
struct formation_input {
    std::span<const model_profile> models;
    const std::map<std::string, double>* needed = nullptr; ///< Replicas of each model that the traffic needs.
    const std::map<std::string, std::size_t>* existing = nullptr; ///< Replicas open or forming, by model.
    std::vector<domain_capacity> domains;
    bool only_staged = true; ///< Use only hosts that hold the model.
    bool may_mix = true; ///< Models may share a domain; false while hosts are still arriving in any domain.
};

/// Models to form replicas of in each domain, in this order.
using formation = std::map<std::string, std::vector<std::string>>;

/// Divides the free hosts of all domains among the models, starting with the model with the lowest coverage.
/// A domain runs replicas of a single model as long as other domains cover the traffic of the other models:
/// the remaining hosts of replicas that lost hosts can then form new replicas without loading a model. Pure
/// and deterministic, so that daemons with the same state make the same plan.
[[nodiscard]] formation plan_formation(formation_input input);

/// The largest number of hosts, at most `free`, that replicas of these models can use.
[[nodiscard]] std::size_t usable_hosts(std::size_t free, std::span<const model_profile> models);

} // namespace coriander
