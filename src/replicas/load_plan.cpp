#include "coriander/replicas/load_plan.hpp"

#include "replicas/model_counts.hpp"

#include <algorithm>
#include <limits>

namespace coriander {
namespace {

/// A model whose replicas exceed its need by less than this part, or by less than one, counts as not met:
/// some will be lost while a load lasts.
constexpr double ample_part = 0.1;
constexpr double ample_count = 1.0;
/// What a missing load counts against coverage, so that nearly complete replicas come first.
constexpr double load_weight = 0.15;
constexpr double least_need = 1e-6;

/// How well the model's load is met.
double coverage(const formation_input& input, const model_counts& existing, const std::string& model)
{
    const auto count = static_cast<double>(count_at(existing, model));
    return count / std::max(least_need, need_of(input, model));
}

bool is_short(const formation_input& input, const model_counts& existing, const std::string& model)
{
    const auto need = need_of(input, model);
    const auto count = static_cast<double>(count_at(existing, model));
    return need > 0.0 && count < need + std::max(ample_count, ample_part * need);
}

/// The hosts that may be loaded for the model: not those that hold a scarcer one.
std::vector<spare_host> usable_for(const formation_input& input, std::span<const spare_host> free,
                                   const model_counts& existing, const std::string& model)
{
    std::vector<spare_host> usable;
    for (const auto& host : free) {
        const bool is_scarcer = host.model != model && !host.model.empty() &&
                                is_short(input, existing, host.model) &&
                                coverage(input, existing, host.model) <= coverage(input, existing, model);
        if (!is_scarcer) {
            usable.push_back(host);
        }
    }
    return usable;
}

std::size_t held_by(std::span<const spare_host> free, const std::string& model)
{
    return static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [&](const spare_host& host) { return host.model == model; }));
}

/// Sorts the hosts so that the best for a replica of the model come last: those that hold it, before them
/// those that hold nothing, before them those that hold another, at last those that are loading another.
void sort_for(std::vector<spare_host>& free, const std::string& model)
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

/// The replica that the domain's free hosts should be completed for; without a model when there is none.
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
        const auto missing = size - std::min(size, held_by(free, model.name));
        const double cost =
            coverage(input, existing, model.name) + load_weight * static_cast<double>(missing);
        if (cost < best.cost) {
            best = {&model, cost};
        }
    }
    return best;
}

/// The model with the fewest replacements for the hosts of its replicas in the domain; empty without
/// replicas.
std::string least_covered(std::span<const model_profile> models, const model_counts& running,
                          const model_counts& spares)
{
    std::string least;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& model : models) {
        const double hosts = static_cast<double>(count_at(running, model.name)) * model.hosts_per_replica;
        const double cover = static_cast<double>(count_at(spares, model.name)) / std::max(1.0, hosts);
        if (hosts > 0.0 && cover < lowest) {
            least = model.name;
            lowest = cover;
        }
    }
    return least;
}

void plan_replacements(const formation_input& input, const model_counts& existing, const std::string& domain,
                       std::span<const spare_host> left, const model_counts& running,
                       std::vector<load_assignment>& loads)
{
    model_counts spares;
    for (const auto& host : left) {
        spares[host.model] += host.model.empty() ? 0 : 1;
    }
    for (const auto& host : left) {
        const auto model = least_covered(input.models, running, spares);
        if (!host.model.empty() && is_short(input, existing, host.model)) {
            continue; // Kept until enough of them make up a replica.
        }
        const bool is_useful = !host.model.empty() && count_at(running, host.model) > 0;
        const bool is_second = count_at(spares, host.model) > 1;
        const bool is_wanted = !is_useful || (is_second && count_at(spares, model) == 0);
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

/// Takes the hosts of the replica out of `free`, and returns the loads that it lacks.
std::vector<load_assignment> complete(const std::string& domain, std::vector<spare_host>& free,
                                      std::vector<spare_host> usable, const model_profile& model)
{
    std::vector<load_assignment> loads;
    sort_for(usable, model.name);
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
        auto left = domain.free;
        auto running = domain.running;
        for (auto best = best_completion(input, left, existing); best.model != nullptr;
             best = best_completion(input, left, existing)) {
            auto usable = usable_for(input, left, existing, best.model->name);
            replicas.push_back({best.cost, complete(domain.domain, left, std::move(usable), *best.model)});
            ++existing[best.model->name];
            ++running[best.model->name];
        }
        plan_replacements(input, existing, domain.domain, left, running, replacements);
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
