#pragma once

#include "coriander/relay/relay_manifest.hpp"

#include <map>
#include <string>

namespace coriander {

/// Measured requests for one model.
struct model_traffic {
    double requests_per_s = 0.0;
    double prompt_tokens = 0.0; ///< Mean per request.
    double answer_tokens = 0.0; ///< Mean per request.
    double duration_ms = 0.0;   ///< Mean time from the start of processing to the end; 0: not measured.
};

/// Time that one request of this size takes up on a replica with a full batch, in milliseconds.
/// Preconditions: the profile has slots and a prompt rate.
[[nodiscard]] double request_cost_ms(const engine_profile& engine, const model_profile& model,
                                     double prompt_tokens, double answer_tokens);

/// Time from the prompt to the end of an answer of this size in a batch of `running` requests, in
/// milliseconds, without time spent in queues.
[[nodiscard]] double answer_time_ms(const engine_profile& engine, const model_profile& model,
                                    double prompt_tokens, double answer_tokens, double running);

/// Number of replicas that the traffic of a model keeps busy.
[[nodiscard]] double replicas_for(const engine_profile& engine, const model_profile& model,
                                  const model_traffic& load);

/// Number of replicas of each model that the traffic keeps busy. Derived from the models' configured shares
/// of `hosts` as long as no traffic was measured.
[[nodiscard]] std::map<std::string, double> needed_replicas(const engine_profile& engine,
                                                            const std::map<std::string, model_traffic>& load,
                                                            std::size_t hosts);

} // namespace coriander
