#include "gateway/gateway_report.hpp"

#include "runtime/metrics.hpp"

#include <map>

namespace coriander {

std::string text_of(std::span<const gateway_report> reports)
{
    std::string text = "GATEWAY\tBUILD\tFEATURES\tSTATE\n";
    for (const auto& one : reports) {
        const auto* state = one.is_stopping ? "stopping" : one.is_cut_off ? "cut off" : "serving";
        text += one.name + "\t" + one.build + "\t" + one.features + "\t" + state + "\n";
    }
    return text;
}

void count_builds(std::span<const gateway_report> reports, metrics& counters)
{
    std::map<std::string, int> counts;
    for (const auto& one : reports) {
        ++counts["build=\"" + one.build + "\",features=\"" + one.features + "\""];
    }
    counters.replace("coriander_gateways", counts);
}

} // namespace coriander
