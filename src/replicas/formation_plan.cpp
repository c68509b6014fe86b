#include "coriander/replicas/formation_plan.hpp"

#include <algorithm>
#include <limits>

namespace coriander {
namespace {

double value_at(const std::map<std::string, double>& values, const std::string& key)
{
    const auto found = values.find(key);
    return found == values.end() ? 0.0 : found->second;
}

std::size_t count_at(const std::map<std::string, std::size_t>& counts, const std::string& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

/// How well a model's replicas meet its load: the smallest comes first. A model without load comes last.
double coverage(std::size_t replicas, double needed)
{
    constexpr double least_need = 1e-6;
    return (static_cast<double>(replicas) + 1.0) / std::max(least_need, needed);
}

std::vector<const model_profile*> by_shortage(const formation_input& input,
                                              const std::map<std::string, std::size_t>& existing)
{
    std::vector<const model_profile*> order;
    for (const auto& model : input.models) {
        if (model.hosts_per_replica > 0) {
            order.push_back(&model);
        }
    }
    std::stable_sort(order.begin(), order.end(), [&](const model_profile* a, const model_profile* b) {
        return coverage(count_at(existing, a->name), value_at(*input.needed, a->name)) <
               coverage(count_at(existing, b->name), value_at(*input.needed, b->name));
    });
    return order;
}

bool fits(const domain_supply& domain, const model_profile& model, bool only_staged)
{
    const auto usable = only_staged ? count_at(domain.staged, model.name) : domain.free;
    return usable >= model.hosts_per_replica;
}

/// The domain where forming the model leaves the fewest hosts that no replica could use.
domain_supply* best_domain(formation_input& input, const model_profile& model)
{
    domain_supply* best = nullptr;
    std::size_t least_waste = std::numeric_limits<std::size_t>::max();
    for (auto& domain : input.domains) {
        if (!fits(domain, model, input.only_staged)) {
            continue;
        }
        const auto left = domain.free - model.hosts_per_replica;
        const auto waste = left - usable_hosts(left, input.models);
        if (waste < least_waste) {
            best = &domain;
            least_waste = waste;
        }
    }
    return best;
}

void take_hosts(domain_supply& domain, const model_profile& model)
{
    domain.free -= model.hosts_per_replica;
    auto& own = domain.staged[model.name];
    own -= std::min<std::size_t>(own, model.hosts_per_replica);
}

} // namespace

std::size_t usable_hosts(std::size_t free, std::span<const model_profile> models)
{
    std::vector<bool> reachable(free + 1, false);
    reachable[0] = true;
    std::size_t most = 0;
    for (std::size_t used = 1; used <= free; ++used) {
        for (const auto& model : models) {
            const std::size_t size = model.hosts_per_replica;
            if (size > 0 && size <= used && reachable[used - size]) {
                reachable[used] = true;
                most = used;
            }
        }
    }
    return most;
}

formation plan_formation(formation_input input)
{
    formation plan;
    auto existing = *input.existing;
    for (bool has_formed = true; has_formed;) {
        has_formed = false;
        for (const auto* model : by_shortage(input, existing)) {
            auto* domain = best_domain(input, *model);
            if (domain != nullptr) {
                take_hosts(*domain, *model);
                plan[domain->domain].push_back(model->name);
                ++existing[model->name];
                has_formed = true;
                break;
            }
        }
    }
    return plan;
}

namespace {

std::size_t held_by(std::span<const spare_host> free, const std::string& model)
{
    return static_cast<std::size_t>(
        std::count_if(free.begin(), free.end(), [&](const spare_host& host) { return host.model == model; }));
}

/// The model of a replica that the hosts suffice for and that needs the fewest loads; null without one.
const model_profile* cheapest_replica(const formation_input& input, std::span<const spare_host> free)
{
    const model_profile* best = nullptr;
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const auto* model : by_shortage(input, *input.existing)) {
        const std::size_t size = model->hosts_per_replica;
        if (size > free.size()) {
            continue;
        }
        const auto missing = size - std::min<std::size_t>(size, held_by(free, model->name));
        if (missing < fewest) {
            best = model;
            fewest = missing;
        }
    }
    return best;
}

/// Sorts the hosts so that the best for a replica of the model come last: those that hold it, before them
/// those that hold nothing.
void sort_for(std::vector<spare_host>& free, const std::string& model)
{
    const auto rank = [&](const spare_host& host) {
        if (host.model == model) {
            return 2;
        }
        return host.model.empty() ? 1 : 0;
    };
    std::stable_sort(free.begin(), free.end(),
                     [&](const spare_host& a, const spare_host& b) { return rank(a) < rank(b); });
}

/// The model with the fewest replacements for its replicas in the domain; empty without replicas.
std::string least_covered(const std::map<std::string, std::size_t>& counts,
                          const std::map<std::string, std::size_t>& spares)
{
    std::string least;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& [model, count] : counts) {
        const double cover = static_cast<double>(count_at(spares, model)) / static_cast<double>(count);
        if (count > 0 && cover < lowest) {
            least = model;
            lowest = cover;
        }
    }
    return least;
}

} // namespace

std::map<std::string, std::string> plan_staging(const formation_input& input,
                                                std::span<const spare_host> free,
                                                const std::map<std::string, std::size_t>& counts)
{
    std::map<std::string, std::string> plan;
    std::vector<spare_host> left{free.begin(), free.end()};
    auto running = counts;
    while (const auto* model = cheapest_replica(input, left)) {
        sort_for(left, model->name);
        for (unsigned i = 0; i < model->hosts_per_replica; ++i) {
            if (left.back().model != model->name) {
                plan[left.back().id] = model->name;
            }
            left.pop_back();
        }
        ++running[model->name];
    }
    std::map<std::string, std::size_t> spares;
    for (const auto& host : left) {
        spares[host.model] += host.model.empty() ? 0 : 1;
    }
    for (const auto& host : left) {
        const bool is_useful = !host.model.empty() && count_at(running, host.model) > 0;
        const auto model = least_covered(running, spares);
        if (!is_useful && !model.empty()) {
            plan[host.id] = model;
            ++spares[model];
        }
    }
    return plan;
}

} // namespace coriander
