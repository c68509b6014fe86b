#include "coriander/replicas/formation_plan.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

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

bool runs_others(const domain_supply& domain, const std::string& model)
{
    return std::any_of(domain.running.begin(), domain.running.end(),
                       [&](const auto& one) { return one.first != model && one.second > 0; });
}

/// The domain to form the model in: one that runs it alone, else an empty one, else, with `may_mix`, one that
/// runs others; among these the one where the fewest hosts are left over that no replica could use.
domain_supply* best_domain(formation_input& input, const model_profile& model, bool may_mix)
{
    domain_supply* best = nullptr;
    auto lowest = std::tuple{true, true, std::numeric_limits<std::size_t>::max()};
    for (auto& domain : input.domains) {
        const bool is_mixed = runs_others(domain, model.name);
        if (!fits(domain, model, input.only_staged) || (is_mixed && !may_mix)) {
            continue;
        }
        const auto left = domain.free - model.hosts_per_replica;
        const auto waste = left - usable_hosts(left, input.models);
        const auto rank = std::tuple{is_mixed, count_at(domain.running, model.name) == 0, waste};
        if (best == nullptr || rank < lowest) {
            best = &domain;
            lowest = rank;
        }
    }
    return best;
}

void take_hosts(domain_supply& domain, const model_profile& model)
{
    domain.free -= model.hosts_per_replica;
    auto& own = domain.staged[model.name];
    own -= std::min<std::size_t>(own, model.hosts_per_replica);
    ++domain.running[model.name];
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
            const bool is_short =
                static_cast<double>(count_at(existing, model->name)) < value_at(*input.needed, model->name);
            auto* domain = best_domain(input, *model, input.may_mix && is_short);
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

/// The model with the fewest replacements for the hosts of its replicas in the domain; empty without
/// replicas.
std::string least_covered(std::span<const model_profile> models,
                          const std::map<std::string, std::size_t>& counts,
                          const std::map<std::string, std::size_t>& spares)
{
    std::string least;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& model : models) {
        const double hosts = static_cast<double>(count_at(counts, model.name)) * model.hosts_per_replica;
        const double cover = static_cast<double>(count_at(spares, model.name)) / std::max(1.0, hosts);
        if (hosts > 0.0 && cover < lowest) {
            least = model.name;
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
        const auto model = least_covered(input.models, running, spares);
        const bool is_useful = !host.model.empty() && count_at(running, host.model) > 0;
        const bool is_second = count_at(spares, host.model) > 1;
        if (!model.empty() && (!is_useful || (is_second && count_at(spares, model) == 0))) {
            plan[host.id] = model;
            ++spares[model];
            if (!host.model.empty()) {
                --spares[host.model];
            }
        }
    }
    return plan;
}

} // namespace coriander
