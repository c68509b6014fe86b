#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// The free hosts of a fabric domain, and what it runs.
struct domain_capacity {
    std::string domain;
    std::size_t free = 0;
    std::map<std::string, std::size_t> staged;  ///< Free hosts that hold each model.
    std::map<std::string, std::size_t> running; ///< Its replicas by model.
    std::string failure_domain{};               ///< Of its hosts.
};

/// What the fleet needs and has.
struct formation_input {
    std::span<const model_profile> models;
    const std::map<std::string, double>* needed = nullptr;        ///< Replicas of each model, by the load.
    const std::map<std::string, std::size_t>* existing = nullptr; ///< Replicas open or being formed.
    std::vector<domain_capacity> domains;
    bool only_staged = true; ///< Form only of hosts that hold the model.
    bool may_mix = true;     ///< Models may share a domain; not while hosts of others still arrive.
};

/// The models to form a replica of, for each domain, in order.
using formation = std::map<std::string, std::vector<std::string>>;

/// Divides the free hosts of all domains among the models: the model that is shortest of replicas for its
/// load comes first. A domain runs replicas of one model as long as the load of the others is met elsewhere:
/// what is left of replicas that lost hosts then makes up new ones without a load. Pure and deterministic, so
/// that daemons that know the same plan the same.
[[nodiscard]] formation plan_formation(formation_input input);

/// The most hosts out of `free` that replicas of these models can use.
[[nodiscard]] std::size_t usable_hosts(std::size_t free, std::span<const model_profile> models);

} // namespace coriander
