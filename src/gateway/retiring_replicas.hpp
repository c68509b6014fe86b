#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/replicas/replica_demand.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_session.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Times that govern when streams leave a retiring replica.
struct retiring_settings {
    /// Streams may finish on the replica for this long; an answer of usual size takes two seconds.
    time_ms grace_period{800};
    /// The remaining streams move one by one, each after this time on average. If they moved together,
    /// another replica would have to process all their prompts at once, which would delay its own streams.
    time_ms mean_move_interval{400};
};

/// The inputs to the decision whether a stream moves off a retiring replica.
struct retiring_state {
    time_ms retiring_for{};
    time_ms since_last_check{};
    std::size_t targets = 0; ///< Targets of the model that accept new requests.
    double needed = 0.0;     ///< Replicas needed for the model's demand.
    double random = 0.0;     ///< Uniform in [0, 1).
};

/// Whether the stream moves now. It stays while the other replicas are sufficient for the demand, since its
/// hosts are not needed then. Pure function.
[[nodiscard]] inline bool should_move(const retiring_state& state, const retiring_settings& settings = {})
{
    const double probability = state.since_last_check.seconds() / settings.mean_move_interval.seconds();
    return static_cast<double>(state.targets) < state.needed && state.retiring_for >= settings.grace_period &&
           state.random < probability;
}

/// Moves streams off replicas that retire because a host leaves, if their model has too few replicas: the
/// other hosts can form a new replica only after the last stream has ended. Not thread-safe: used on the
/// event loop's thread only.
class retiring_replicas {
public:
    retiring_replicas(relay_context& context, const fleet_view& view) : context{context}, view{view} {}

    /// Checks the open streams of a service; call frequently while requests are open.
    /// Preconditions: the service has an engine.
    void check(const relay_service& service, time_ms now)
    {
        auto& state = this->context.service(service.name);
        auto& previous = this->last_checks[service.name];
        const auto last = std::exchange(previous.at, now);
        std::map<std::string, time_ms> retiring;
        std::vector<std::shared_ptr<relay_session>> moving;
        for (const auto& [target, sessions] : state.sessions) {
            const auto* replica =
                state.board.is_listed(target) ? nullptr : this->view.find_replica(service.name, target);
            if (replica == nullptr || replica->phase != replica_phase::retiring) {
                continue;
            }
            const auto known = previous.since.find(target);
            const auto retiring_since = known == previous.since.end() ? now : known->second;
            retiring[target] = retiring_since;
            auto stream = this->state_of(service, *replica, now);
            stream.retiring_for = now - retiring_since;
            stream.since_last_check = now - last;
            for (auto* session : sessions) {
                stream.random = this->context.draw();
                if (should_move(stream)) {
                    moving.push_back(session->shared_from_this());
                }
            }
        }
        previous.since = std::move(retiring);
        for (const auto& session : moving) {
            session->fail_over("replica is being re-formed");
        }
    }

private:
    struct last_check {
        time_ms at;
        std::map<std::string, time_ms> since; ///< When replicas with open streams began to retire.
    };

    [[nodiscard]] retiring_state state_of(const relay_service& service, const replica_entry& replica,
                                          time_ms now)
    {
        auto& state = this->context.service(service.name);
        const auto* model = find_model(service, replica.model);
        retiring_state stream;
        stream.targets = state.board.count(replica.model, now);
        if (model != nullptr) {
            const auto load =
                this->context.fleet_load(service.name, replica.model, state.meters[replica.model]);
            stream.needed = replicas_for(*service.engine, *model, load);
        }
        return stream;
    }

    relay_context& context;
    const fleet_view& view;
    std::map<std::string, last_check> last_checks; ///< By service.
};

} // namespace coriander
