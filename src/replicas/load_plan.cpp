#include "coriander/replicas/load_plan.hpp"

#include "replicas/model_counts.hpp"

#include <algorithm>
#include <limits>

namespace coriander {
namespace {

/// A model is short of replicas unless it has this fraction, and at least one, more than it needs: some
/// replicas will be lost while a load takes place.
constexpr double surplus_fraction = 0.1;
constexpr double min_surplus = 1.0;
/// Cost of each missing load, in units of coverage, so that nearly complete replicas come first.
constexpr double missing_load_cost = 0.15;
constexpr double min_need = 1e-6;

/// Ratio of the model's replicas to those that it needs.
double coverage(const formation_input& input, const model_counts& existing, const std::string& model)
{
    const auto count = static_cast<double>(count_at(existing, model));
    return count / std::max(min_need, needed_replicas_of(input, model));
}

bool is_short(const formation_input& input, const model_counts& existing, const std::string& model)
{
    const auto need = needed_replicas_of(input, model);
    const auto count = static_cast<double>(count_at(existing, model));
    return need > 0.0 && count < need + std::max(min_surplus, surplus_fraction * need);
}

/// The hosts that may load the model. Excludes hosts that hold another model which is short of replicas and
/// whose coverage is not higher.
std::vector<spare_host> usable_for(const formation_input& input, std::span<const spare_host> free,
                                   const model_counts& existing, const std::string& model)
{
    std::vector<spare_host> usable;
    for (const auto& host : free) {
        const bool is_needed_more = host.model != model && !host.model.empty() &&
                                    is_short(input, existing, host.model) &&
                                    coverage(input, existing, host.model) <= coverage(input, existing, model);
        if (!is_needed_more) {
            usable.push_back(host);
        }
    }
    return usable;
}

std::size_t count_holding(std::span<const spare_host> free, const std::string& model)
{
    return static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [&](const spare_host& host) { return host.model == model; }));
}

/// Sorts the hosts so that the best candidates for a replica of the model come last. From first to last:
/// hosts that are loading another model, hosts that hold another, hosts that hold none, hosts that hold or
/// load the model.
void sort_by_suitability(std::vector<spare_host>& free, const std::string& model)
{
    const auto rank = [&](const spare_host& host) {
        if (host.model == model) {
            return 3;
        }
        if (host.model.empty()) {
            return 2;
        }
        return host.is_loading ? 0 : 1;
    };
    std::stable_sort(free.begin(), free.end(),
                     [&](const spare_host& a, const spare_host& b) { return rank(a) < rank(b); });
}

struct completion {
    const model_profile* model = nullptr;
    double cost = std::numeric_limits<double>::max();
};

/// The replica to complete first with the domain's free hosts; its model is null if there is none.
completion best_completion(const formation_input& input, std::span<const spare_host> free,
                           const model_counts& existing)
{
    completion best;
    for (const auto& model : input.models) {
        const std::size_t size = model.hosts_per_replica;
        const bool is_wanted = size > 0 && is_short(input, existing, model.name);
        if (!is_wanted || size > usable_for(input, free, existing, model.name).size()) {
            continue;
        }
        const auto missing = size - std::min(size, count_holding(free, model.name));
        const double cost =
            coverage(input, existing, model.name) + missing_load_cost * static_cast<double>(missing);
        if (cost < best.cost) {
            best = {&model, cost};
        }
    }
    return best;
}

/// The model with the fewest replacement hosts relative to the hosts of its replicas in the domain; empty if
/// the domain has no replicas.
std::string model_with_fewest_spares(std::span<const model_profile> models, const model_counts& running,
                                     const model_counts& spares)
{
    std::string fewest;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& model : models) {
        const double hosts = static_cast<double>(count_at(running, model.name)) * model.hosts_per_replica;
        const double spare_ratio = static_cast<double>(count_at(spares, model.name)) / std::max(1.0, hosts);
        if (hosts > 0.0 && spare_ratio < lowest) {
            fewest = model.name;
            lowest = spare_ratio;
        }
    }
    return fewest;
}

void plan_replacements(const formation_input& input, const model_counts& existing, const std::string& domain,
                       std::span<const spare_host> remaining, const model_counts& running,
                       std::vector<load_assignment>& loads)
{
    model_counts spares;
    for (const auto& host : remaining) {
        spares[host.model] += host.model.empty() ? 0 : 1;
    }
    for (const auto& host : remaining) {
        const auto model = model_with_fewest_spares(input.models, running, spares);
        if (!host.model.empty() && is_short(input, existing, host.model)) {
            continue; // Kept until there are enough hosts for a replica.
        }
        const bool is_useful = !host.model.empty() && count_at(running, host.model) > 0;
        const bool is_redundant = count_at(spares, host.model) > 1;
        const bool is_wanted = !is_useful || (is_redundant && count_at(spares, model) == 0);
        if (!model.empty() && !host.is_loading && is_wanted) {
            loads.push_back({domain, host.id, model});
            ++spares[model];
            if (!host.model.empty()) {
                --spares[host.model];
            }
        }
    }
}

struct replica_loads {
    double cost = 0.0;
    std::vector<load_assignment> loads;
};

/// Removes the hosts of the replica from `free` and returns the loads that are missing.
std::vector<load_assignment> take_hosts_for(const std::string& domain, std::vector<spare_host>& free,
                                            std::vector<spare_host> usable, const model_profile& model)
{
    std::vector<load_assignment> loads;
    sort_by_suitability(usable, model.name);
    for (unsigned i = 0; i < model.hosts_per_replica; ++i) {
        const auto& host = usable.back();
        if (host.model != model.name && !host.is_loading) {
            loads.push_back({domain, host.id, model.name});
        }
        std::erase_if(free, [&](const spare_host& one) { return one.id == host.id; });
        usable.pop_back();
    }
    return loads;
}

} // namespace

std::vector<load_assignment> plan_loads(const formation_input& input, std::span<const domain_spares> domains)
{
    auto existing = *input.existing;
    std::vector<replica_loads> replicas;
    std::vector<load_assignment> replacements;
    for (const auto& domain : domains) {
        auto remaining = domain.free;
        auto running = domain.running;
        for (auto best = best_completion(input, remaining, existing); best.model != nullptr;
             best = best_completion(input, remaining, existing)) {
            auto usable = usable_for(input, remaining, existing, best.model->name);
            replicas.push_back(
                {best.cost, take_hosts_for(domain.domain, remaining, std::move(usable), *best.model)});
            ++existing[best.model->name];
            ++running[best.model->name];
        }
        plan_replacements(input, existing, domain.domain, remaining, running, replacements);
    }
    std::stable_sort(replicas.begin(), replicas.end(),
                     [](const replica_loads& a, const replica_loads& b) { return a.cost < b.cost; });
    std::vector<load_assignment> loads;
    for (const auto& replica : replicas) {
        loads.insert(loads.end(), replica.loads.begin(), replica.loads.end());
    }
    loads.insert(loads.end(), replacements.begin(), replacements.end());
    return loads;
}

} // namespace coriander
