#pragma once

#include "coriander/replicas/formation_plan.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace coriander {

/// Replicas or hosts by model.
using model_counts = std::map<std::string, std::size_t>;

/// How many of the model are counted; none where it is missing.
[[nodiscard]] inline std::size_t count_at(const model_counts& counts, const std::string& model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

/// How many replicas the model's load needs; none where nothing is known of it.
[[nodiscard]] inline double need_of(const formation_input& input, const std::string& model)
{
    const auto found = input.needed->find(model);
    return found == input.needed->end() ? 0.0 : found->second;
}

} // namespace coriander
