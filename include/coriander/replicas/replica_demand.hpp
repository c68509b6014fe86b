#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <map>
#include <string>

namespace coriander {

/// Requests of one model as they were measured.
struct model_traffic {
    double requests_per_s = 0.0;
    double prompt_tokens = 0.0; ///< Mean of a request.
    double answer_tokens = 0.0;
    double duration_ms = 0.0; ///< Mean time from the begin of an answer's work to its end; 0: none measured.
};

/// How long a replica is occupied by one request of this size while its batch is full, in milliseconds.
/// Preconditions: the profile has slots and reads prompts.
[[nodiscard]] double request_cost_ms(const engine_profile& engine, const model_profile& model,
                                     double prompt_tokens, double answer_tokens);

/// How long an answer of this size takes from its prompt to its end in a batch of `running` requests, in
/// milliseconds, without waiting.
[[nodiscard]] double answer_time_ms(const engine_profile& engine, const model_profile& model,
                                    double prompt_tokens, double answer_tokens, double running);

/// How many replicas the load of a model keeps busy.
[[nodiscard]] double replicas_for(const engine_profile& engine, const model_profile& model,
                                  const model_traffic& load);

/// How many replicas of each model the load keeps busy; by the declared shares of `hosts` while nothing was
/// measured.
[[nodiscard]] std::map<std::string, double> needed_replicas(const engine_profile& engine,
                                                            const std::map<std::string, model_traffic>& load,
                                                            std::size_t hosts);

} // namespace coriander
