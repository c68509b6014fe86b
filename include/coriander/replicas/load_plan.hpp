#pragma once

#include "coriander/replicas/formation_plan.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// A free host of a domain, with the model that it holds or is loading; empty: none.
struct spare_host {
    std::string id;
    std::string model;
    bool is_loading = false;
};

/// The free hosts of one domain.
struct domain_spares {
    std::string domain;
    std::vector<spare_host> free;
    std::map<std::string, std::size_t> running; ///< The domain's replicas by model.
};

/// A host that should load a model.
struct load_assignment {
    std::string domain;
    std::string host;
    std::string model;
    auto operator<=>(const load_assignment&) const = default;
};

/// Which hosts should load which model, the most useful load first. Loads share the weight store and each
/// takes longer the more there are, so that the caller begins only the first few.
///
/// Hosts that suffice for a replica of a model whose load is not met are completed for it: first where the
/// model is scarcer and fewer loads are missing. The others become replacements: they hold models that their
/// domain runs, by the hosts that each has to lose, and each model one before another two. Pure and
/// deterministic.
[[nodiscard]] std::vector<load_assignment> plan_loads(const formation_input& input,
                                                      std::span<const domain_spares> domains);

} // namespace coriander
