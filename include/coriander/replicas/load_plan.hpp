#pragma once

#include "coriander/replicas/formation_plan.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// A free host of a domain, with the model that it holds or is loading (empty: none).
struct spare_host {
    std::string id;
    std::string model;
    bool is_loading = false;
};

/// The free hosts of one domain.
struct domain_spares {
    std::string domain;
    std::vector<spare_host> free;
    std::map<std::string, std::size_t> running; ///< Number of the domain's replicas by model.
};

/// A model that a host should load into its memory.
struct load_assignment {
    std::string domain;
    std::string host;
    std::string model;
    auto operator<=>(const load_assignment&) const = default;
};

/// Returns which hosts should load which model, the most useful load first. All loads share the weight store
/// and slow each other down, so the caller should start only the first few.
///
/// Where a domain has enough free hosts for a replica of a model with too few replicas, the hosts
/// without the model load it; models with the lowest coverage and replicas that miss the fewest loads come
/// first. The remaining hosts become replacements: they load models that their domain runs, in proportion to
/// the number of hosts in the replicas of each, and every model gets a first replacement before another gets
/// a second. Pure and deterministic.
[[nodiscard]] std::vector<load_assignment> plan_loads(const formation_input& input,
                                                      std::span<const domain_spares> domains);

} // namespace coriander
