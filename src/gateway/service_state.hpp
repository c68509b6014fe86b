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

/// Averages over one model's requests, or all requests of a plain service.
class model_meter {
public:
    /// A request arrived.
    void on_request(double prompt_tokens, time_ms now);
    /// The request was refused for want of capacity.
    void on_refused(time_ms now);
    /// The refused part of the requests of the last seconds.
    [[nodiscard]] double refused_share(time_ms now) const;
    /// An answer ended well.
    void on_answer(double answer_tokens, time_ms duration);

    /// The size class of a request with so many declared tokens, against the mean of those before it.
    [[nodiscard]] const char* classify(double declared_tokens);

    /// Requests a second, their mean sizes and the mean time of an answer.
    [[nodiscard]] model_load load(time_ms now) const;

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

/// The usual time that a request takes, without its wait: as measured, or, before any was, by the engine's
/// profile of the model, null for plain services; zero when neither is known.
[[nodiscard]] time_ms usual_duration_of(const model_load& load, const relay_service& service,
                                        const model_profile* model);

/// What a daemon keeps of one service for routing.
struct service_state {
    target_pool board;
    retry_window retries;
    std::map<std::string, model_meter> meters;                ///< By model.
    std::map<std::string, std::set<relay_session*>> sessions; ///< Open attempts by target.
};

} // namespace coriander
