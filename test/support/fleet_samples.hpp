#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/replicas/listed_host.hpp"

#include <string>
#include <vector>

namespace coriander::samples {

/// Free hosts `<domain>-h0`, `<domain>-h1`, ... of a fabric domain that hold the model `staged`.
inline std::vector<listed_host> free_hosts_of(const std::string& domain, std::size_t count,
                                              const std::string& staged = {})
{
    std::vector<listed_host> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        listed_host host;
        host.id = domain + "-h" + std::to_string(i);
        host.service = "assistant";
        host.address = "127.0.0.1:" + std::to_string(9000 + i);
        host.failure_domain = "gent";
        host.fabric_domain = domain;
        host.incarnation = 100 + i;
        host.slots = 26;
        host.is_self_reported = true;
        if (!staged.empty()) {
            host.staged = {staged};
        }
        hosts.push_back(host);
    }
    return hosts;
}

/// A replica of these hosts in the given phase. The hosts' own state is set to match it.
inline replica_entry replica_of(std::vector<listed_host>& hosts, const std::string& name,
                                std::uint64_t generation, replica_phase phase)
{
    replica_entry entry;
    entry.name = name;
    entry.model = "large";
    entry.generation = generation;
    entry.phase = phase;
    for (auto& host : hosts) {
        entry.hosts.push_back({host.id, host.address, host.incarnation, false});
        const auto own = entry.hosts.size() == 1 ? host_phase::open : host_phase::ready;
        host.part = replica_part{name, generation, own};
    }
    return entry;
}

/// Two models: replicas of `large` have four hosts, those of `small` three.
inline std::vector<model_profile> two_models()
{
    return {{"large", 4, 1.0, 0.6, 16_s, 1600_ms}, {"small", 3, 0.6, 0.4, 12_s, 1100_ms}};
}

/// A service with these models.
inline relay_service assistant()
{
    engine_profile engine;
    engine.slots = 26;
    engine.step_ms = 5.95;
    engine.step_ms_per_request = 0.0445;
    engine.step_ms_per_1k_context = 0.00813;
    engine.prompt_tokens_per_s = 50700.0;
    engine.attention_ms_per_1m_pairs = 0.368;
    engine.steps_per_event = 7;
    engine.typical_prompt_tokens = 1115.0;
    engine.typical_answer_tokens = 178.0;
    engine.loads_per_s = 4.5;
    engine.forming_time = 300_ms;
    engine.models = two_models();
    relay_service service;
    service.name = "assistant";
    service.engine = engine;
    return service;
}

} // namespace coriander::samples
