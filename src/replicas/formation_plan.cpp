#include "coriander/replicas/formation_plan.hpp"

#include "replicas/model_counts.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace coriander {
namespace {

/// Coverage of the model's need after one more replica. Models with the lowest value come first, those
/// without traffic last.
double coverage(std::size_t replicas, double needed)
{
    constexpr double min_need = 1e-6;
    return (static_cast<double>(replicas) + 1.0) / std::max(min_need, needed);
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
        return coverage(count_at(existing, a->name), needed_replicas_of(input, a->name)) <
               coverage(count_at(existing, b->name), needed_replicas_of(input, b->name));
    });
    return order;
}

bool fits(const domain_capacity& domain, const model_profile& model, bool only_staged)
{
    const auto usable = only_staged ? count_at(domain.staged, model.name) : domain.free;
    return usable >= model.hosts_per_replica;
}

bool runs_other_models(const domain_capacity& domain, const std::string& model)
{
    return std::any_of(domain.running.begin(), domain.running.end(),
                       [&](const auto& one) { return one.first != model && one.second > 0; });
}

/// Whether the domain would still have one spare host for each replica of another model after the model's
/// next replica. Without a spare, a replica that loses a host is unavailable until another host has loaded
/// the model.
bool leaves_spare_hosts(const domain_capacity& domain, const model_profile& model)
{
    std::size_t kept = 0;
    for (const auto& [name, count] : domain.running) {
        kept += name == model.name ? 0 : count;
    }
    return domain.free >= model.hosts_per_replica + kept;
}

/// Whether the model has so few replicas that it may use the spare hosts of other models. While loads are
/// cheap, as at the start, only a model without replicas may: more hosts may still arrive.
bool is_severely_short(const formation_input& input, const std::map<std::string, std::size_t>& existing,
                       const std::string& model)
{
    constexpr double min_coverage = 0.5;
    const auto count = count_at(existing, model);
    return count == 0 || (input.only_staged &&
                          static_cast<double>(count) < min_coverage * needed_replicas_of(input, model));
}

/// Number of the model's replicas in a failure domain.
std::size_t count_in(const formation_input& input, const std::string& failure_domain,
                     const std::string& model)
{
    std::size_t count = 0;
    for (const auto& domain : input.domains) {
        count += domain.failure_domain == failure_domain ? count_at(domain.running, model) : 0;
    }
    return count;
}

/// The domain in which to form a replica of the model. Prefers a domain that runs only this model, then an
/// empty one, then, with `may_mix`, one that runs other models. Among these, prefers the failure domain with
/// the fewest replicas of the model, so that its loss does not take most of them, then the domain that leaves
/// the fewest hosts that no replica could use. Spare hosts of other models are used only if the replica
/// `is_needed`.
domain_capacity* best_domain(formation_input& input, const model_profile& model, bool may_mix, bool is_needed)
{
    domain_capacity* best = nullptr;
    constexpr auto none = std::numeric_limits<std::size_t>::max();
    auto lowest = std::tuple{true, true, none, none};
    for (auto& domain : input.domains) {
        const bool is_mixed = runs_other_models(domain, model.name);
        const bool is_allowed = !is_mixed || (may_mix && (is_needed || leaves_spare_hosts(domain, model)));
        if (!fits(domain, model, input.only_staged) || !is_allowed) {
            continue;
        }
        const auto left = domain.free - model.hosts_per_replica;
        const auto waste = left - usable_hosts(left, input.models);
        const auto replicas_nearby = count_in(input, domain.failure_domain, model.name);
        const auto rank =
            std::tuple{is_mixed, count_at(domain.running, model.name) == 0, replicas_nearby, waste};
        if (best == nullptr || rank < lowest) {
            best = &domain;
            lowest = rank;
        }
    }
    return best;
}

void take_hosts(domain_capacity& domain, const model_profile& model)
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
    std::size_t largest = 0;
    for (std::size_t used = 1; used <= free; ++used) {
        for (const auto& model : models) {
            const std::size_t size = model.hosts_per_replica;
            if (size > 0 && size <= used && reachable[used - size]) {
                reachable[used] = true;
                largest = used;
            }
        }
    }
    return largest;
}

formation plan_formation(formation_input input)
{
    formation plan;
    auto existing = *input.existing;
    for (bool has_formed = true; has_formed;) {
        has_formed = false;
        for (const auto* model : by_shortage(input, existing)) {
            const bool is_short =
                static_cast<double>(count_at(existing, model->name)) < needed_replicas_of(input, model->name);
            auto* domain = best_domain(input, *model, input.may_mix && is_short,
                                       is_severely_short(input, existing, model->name));
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

} // namespace coriander
