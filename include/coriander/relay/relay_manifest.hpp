#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// What may be done with a request whose outcome is not known.
enum class repetition {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    resumable,      ///< A stream that another target may go on with after the last event.
};

/// One way that a route's requests may go; the weights of a route's ways are relative to each other.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// How requests to one host name and path prefix are relayed.
struct relay_route {
    std::string name;
    std::string host_name;
    std::string path_prefix; ///< Begins and ends with a slash.
    std::vector<weighted_service> services;
    repetition kind = repetition::non_idempotent;
    bool is_stream = false;      ///< The answer is a stream of numbered events.
    bool requires_customer_key = true;  ///< Requests carry a customer's key.
    unsigned max_attempts = 1;   ///< Targets that one request may be sent to.
    unsigned priority = 0;       ///< 0 is the most urgent.
    time_ms time_limit{30000};   ///< The longest time that a caller is kept waiting.
    time_ms latency_objective{}; ///< For the whole answer, or a stream's first event.
    time_ms gap_objective{};     ///< The longest pause between events of a stream.
};

/// A model of an engine service: its replicas span `hosts_per_replica` hosts.
struct model_profile {
    std::string name;
    unsigned hosts_per_replica = 1;
    double time_factor = 1.0;   ///< Multiplies all of the replica's times.
    double initial_share = 0.0; ///< Its part of the service's hosts before any load was measured.
    time_ms load_time{};        ///< From the weight store.
    time_ms staged_load_time{}; ///< From the host's own memory.
};

/// How an engine service works through requests. Times are a replica's, for a time factor of 1.
struct engine_profile {
    unsigned slots = 1; ///< Requests that a replica runs at once.
    double token_capacity = 0.0;
    double step_ms = 0.0;             ///< One token for each running request.
    double step_ms_per_request = 0.0; ///< Added for each running request.
    double step_ms_per_1k_context = 0.0;
    double prompt_tokens_per_s = 0.0;
    double attention_ms_per_1m_pairs = 0.0;
    unsigned steps_per_event = 1;
    double typical_prompt_tokens = 0.0;
    double typical_answer_tokens = 0.0;
    unsigned max_concurrent_loads = 0; ///< More make each take longer; 0: not told.
    double loads_per_s = 0.0;   ///< Most loads from the weight store that may start in a second.
    time_ms forming_time{};     ///< From the order to open until the replica takes requests.
    std::vector<model_profile> models;
};

/// The profile of an engine's model; null when there is none.
[[nodiscard]] inline const model_profile* find_model(const engine_profile& engine, std::string_view name)
{
    const auto found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&](const model_profile& one) { return one.name == name; });
    return found == engine.models.end() ? nullptr : &*found;
}

/// A service that routes lead to.
struct relay_service {
    std::string name;
    std::string health_path;
    unsigned max_connections = 0;         ///< Over all callers of one target; 0: not limited.
    std::optional<engine_profile> engine; ///< Absent: a plain service.
};

/// The profile of a service's model; null when there is none, as for all plain services.
[[nodiscard]] inline const model_profile* find_model(const relay_service& service, std::string_view name)
{
    return service.engine ? find_model(*service.engine, name) : nullptr;
}

/// A customer with the keys that name it.
struct relay_customer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< Goes before the route's.
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    time_ms header_timeout{3000};
    time_ms idle_timeout{15000};
};

/// Everything that operators declare for relayed services, as one version.
struct relay_manifest {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::map<std::string, relay_service> services;
    std::vector<relay_customer> customers;
    caller_limits limits;
};

} // namespace coriander
