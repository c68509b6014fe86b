#include "coriander/replicas/replica_demand.hpp"

#include <algorithm>

namespace coriander {
namespace {

/// Fraction of a replica's slots that can be in use on average; beyond it, requests have to wait.
constexpr double usable_slot_fraction = 0.8;
/// Fraction of the hosts that the configured shares use. The others are spare, so that the fleet can tolerate
/// the loss of hosts.
constexpr double declared_utilization = 0.85;
constexpr double ms_per_s = 1000.0;

double step_ms(const engine_profile& engine, double running, double context_tokens)
{
    return engine.step_ms +
           running * (engine.step_ms_per_request + engine.step_ms_per_1k_context * context_tokens / 1000.0);
}

double prompt_ms(const engine_profile& engine, double prompt_tokens)
{
    const double reading =
        engine.prompt_tokens_per_s > 0.0 ? prompt_tokens / engine.prompt_tokens_per_s * ms_per_s : 0.0;
    const double pairs = prompt_tokens * prompt_tokens / 2.0;
    return reading + engine.attention_ms_per_1m_pairs * pairs / 1e6;
}

} // namespace

double request_cost_ms(const engine_profile& engine, const model_profile& model, double prompt_tokens,
                       double answer_tokens)
{
    const double running = std::max(1.0, usable_slot_fraction * engine.slots);
    const double step = step_ms(engine, running, prompt_tokens + answer_tokens / 2.0);
    return model.time_factor * (prompt_ms(engine, prompt_tokens) + answer_tokens * step / running);
}

double answer_time_ms(const engine_profile& engine, const model_profile& model, double prompt_tokens,
                      double answer_tokens, double running)
{
    const double step = step_ms(engine, running, prompt_tokens + answer_tokens / 2.0);
    // While the answer is generated, the replica also processes the prompts of requests that take freed
    // slots.
    const double reading = prompt_ms(engine, prompt_tokens);
    return model.time_factor * (reading * std::max(1.0, running) + answer_tokens * step);
}

double replicas_for(const engine_profile& engine, const model_profile& model, const model_traffic& load)
{
    const double cost = request_cost_ms(engine, model, load.prompt_tokens, load.answer_tokens);
    return load.requests_per_s * cost / ms_per_s;
}

std::map<std::string, double> needed_replicas(const engine_profile& engine,
                                              const std::map<std::string, model_traffic>& load,
                                              std::size_t hosts)
{
    std::map<std::string, double> needed;
    double shares = 0.0;
    for (const auto& model : engine.models) {
        shares += model.initial_share;
    }
    const double declared = shares > 0.0 ? declared_utilization * static_cast<double>(hosts) / shares : 0.0;
    double measured = 0.0;
    for (const auto& model : engine.models) {
        const auto found = load.find(model.name);
        if (found != load.end()) {
            needed[model.name] = replicas_for(engine, model, found->second);
            measured += needed[model.name];
        }
    }
    for (const auto& model : engine.models) {
        if (measured <= 0.0) {
            needed[model.name] = declared * model.initial_share / std::max(1U, model.hosts_per_replica);
        }
        else {
            needed.try_emplace(model.name, 0.0);
        }
    }
    return needed;
}

} // namespace coriander
