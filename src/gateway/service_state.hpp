#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/relay/retry_window.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/replicas/replica_demand.hpp"
#include "coriander/time_ms.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace coriander {

class relay_session;

/// Moving averages over one model's requests, or over all requests of a service without an engine.
class model_meter {
public:
    /// Records an arriving request.
    void on_request(double prompt_tokens, time_ms now);
    /// Records that the request was refused for lack of capacity.
    void on_refused(time_ms now);
    /// The fraction of the last few seconds' requests that were refused.
    [[nodiscard]] double refused_share(time_ms now) const;
    /// Records a complete answer.
    void on_answer(double answer_tokens, time_ms duration);

    /// The size class of a request by its declared tokens, relative to their moving average, which is
    /// updated.
    [[nodiscard]] const char* classify(double declared_tokens);

    /// Requests per second, their mean sizes and the mean duration of an answer.
    [[nodiscard]] model_traffic load(time_ms now) const;

private:
    double rate = 0.0;
    time_ms rate_at;
    double refusal_rate = 0.0;
    time_ms refusal_at;
    double prompt = 0.0;
    double answer = 0.0;
    double declared = 0.0;
    double duration_ms = 0.0;
};

/// The expected duration of a request, without queueing: the measured mean, or, before the first measurement,
/// an estimate from the engine's profile of the model. `model` is null for services without an engine. Zero
/// if neither is available.
[[nodiscard]] time_ms expected_duration(const model_traffic& load, const relay_service& service,
                                        const model_profile* model);

/// A daemon's routing state for one service.
struct service_state {
    target_pool board;
    retry_window retries;
    std::map<std::string, model_meter> meters;                ///< By model.
    std::map<std::string, std::set<relay_session*>> sessions; ///< In flight, by target.
    std::multiset<std::string>
        held; ///< Targets of attempts to which requests in flight elsewhere may go back.
};

} // namespace coriander
