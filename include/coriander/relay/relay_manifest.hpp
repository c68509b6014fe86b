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

/// How a request may be retried when its outcome is unknown.
enum class repetition {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Must not run more than once.
    resumable,      ///< A stream that another target can continue after the last event.
};

/// A service that receives a share of a route's requests, in proportion to its weight.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// Rules for relaying the requests to one host name and path prefix.
struct relay_route {
    std::string name;
    std::string host_name;
    std::string path_prefix; ///< Begins and ends with a slash.
    std::vector<weighted_service> services;
    repetition kind = repetition::non_idempotent;
    bool is_stream = false;            ///< The response is a stream of numbered events.
    bool requires_customer_key = true; ///< Requests must carry a customer's key.
    unsigned max_attempts = 1;         ///< Maximum number of targets to which a request may be sent.
    unsigned priority = 0;             ///< 0 is the highest.
    time_ms time_limit{30000};         ///< Maximum time until the caller gets a response.
    time_ms latency_objective{};       ///< For the complete response, or the first event of a stream.
    time_ms gap_objective{};           ///< For the longest gap between events of a stream.
};

/// A model of an engine service.
struct model_profile {
    std::string name;
    unsigned hosts_per_replica = 1; ///< Hosts that each replica spans.
    double time_factor = 1.0;       ///< Multiplies all processing times of the replica.
    double initial_share = 0.0;     ///< Fraction of the service's hosts until a load has been measured.
    time_ms load_time{};            ///< Time to load the weights from the weight store.
    time_ms staged_load_time{};     ///< Time to load the weights from the host's memory.
};

/// Performance characteristics of an engine service. Times apply to one replica with a time factor of 1.
struct engine_profile {
    unsigned slots = 1; ///< Requests that a replica runs concurrently.
    double token_capacity = 0.0;
    double step_ms = 0.0;             ///< Time of a step, which generates one token for each running request.
    double step_ms_per_request = 0.0; ///< Additional time for each running request.
    double step_ms_per_1k_context = 0.0;
    double prompt_tokens_per_s = 0.0;
    double attention_ms_per_1m_pairs = 0.0;
    unsigned steps_per_event = 1;
    double typical_prompt_tokens = 0.0;
    double typical_answer_tokens = 0.0;
    unsigned max_concurrent_loads = 0; ///< More concurrent loads slow each other down; 0: unspecified.
    double loads_per_s = 0.0;          ///< Maximum rate at which loads from the weight store may start.
    time_ms forming_time{};            ///< From the order to open the replica until it accepts requests.
    std::vector<model_profile> models;
};

/// The profile of a model of the engine; null if there is none.
[[nodiscard]] inline const model_profile* find_model(const engine_profile& engine, std::string_view name)
{
    const auto found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&](const model_profile& model) { return model.name == name; });
    return found == engine.models.end() ? nullptr : &*found;
}

/// A service to which routes send requests.
struct relay_service {
    std::string name;
    std::string health_path;
    unsigned max_connections = 0;         ///< Per target, over all callers; 0: unlimited.
    double cold_rate = 0.0;               ///< Requests per second that a cold host bears in all; 0: any.
    std::optional<engine_profile> engine; ///< Empty for a plain service.
};

/// The profile of a model of the service; null if there is none, as for all plain services.
[[nodiscard]] inline const model_profile* find_model(const relay_service& service, std::string_view name)
{
    return service.engine ? find_model(*service.engine, name) : nullptr;
}

/// A customer with its keys.
struct relay_customer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< Overrides the priority of the route.
};

/// Limits on a caller's requests.
struct caller_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    time_ms header_timeout{3000};
    time_ms idle_timeout{15000};
};

/// One version of the operators' configuration of the relayed services.
struct relay_manifest {
    std::uint64_t version = 0;
    std::vector<relay_route> routes;
    std::map<std::string, relay_service> services;
    std::vector<relay_customer> customers;
    caller_limits limits;
};

} // namespace coriander
