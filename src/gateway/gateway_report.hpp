#pragma once

#include <span>
#include <string>

namespace coriander {

class metrics;

/// What a gateway knows of another one, or of itself, for operators.
struct gateway_report {
    std::string name;
    std::string build;
    std::string features; ///< Names, joined by "+".
    bool is_stopping = false;
    bool is_cut_off = false;
};

/// A table with a line for each gateway, as `corianderctl gateways` prints it.
[[nodiscard]] std::string text_of(std::span<const gateway_report> reports);

/// Sets the gauge that counts the gateways of each build and set of features.
void count_builds(std::span<const gateway_report> reports, metrics& counters);

} // namespace coriander
