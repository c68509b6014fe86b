#pragma once

#include "coriander/replicas/formation_plan.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace coriander {

/// Number of replicas or hosts by model.
using model_counts = std::map<std::string, std::size_t>;

/// The count of the model; zero if it is missing.
[[nodiscard]] inline std::size_t count_at(const model_counts& counts, const std::string& model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

/// Number of replicas that the model's traffic needs; zero if it is unknown.
[[nodiscard]] inline double needed_replicas_of(const formation_input& input, const std::string& model)
{
    const auto found = input.needed->find(model);
    return found == input.needed->end() ? 0.0 : found->second;
}

} // namespace coriander
