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

/// Times of a replica's retirement.
struct retiring_settings {
    /// Streams have so long to end where they are; an answer of usual size takes two seconds.
    time_ms patience{800};
    /// Those that are left move one by one, each after so long on average: no other replica has to read all
    /// their prompts at once, which would hold up the streams that it has.
    time_ms moving_time{400};
};

/// What decides whether a stream on a retiring replica goes on elsewhere.
struct retiring_state {
    time_ms retiring_for{};
    time_ms since_last_look{};
    std::size_t targets = 0; ///< Of the model, that take new requests.
    double needed = 0.0;     ///< For the model's demand.
    double draw = 0.0;       ///< Uniform in [0, 1).
};

/// Whether the stream moves now. It stays while the other replicas bear the demand: nothing waits for its
/// hosts then. Pure.
[[nodiscard]] inline bool should_move(const retiring_state& state, const retiring_settings& settings = {})
{
    const double part = state.since_last_look.seconds() / settings.moving_time.seconds();
    return static_cast<double>(state.targets) < state.needed && state.retiring_for >= settings.patience &&
           state.draw < part;
}

/// Has streams leave replicas that retire for a leaving host, where their model is short of replicas: the
/// other hosts can form a new one only when the last stream has ended. Used on the loop's thread only.
class retiring_replicas {
public:
    retiring_replicas(relay_context& context, const fleet_view& view) : context{context}, view{view} {}

    /// Looks at the open streams of a service; call often while requests are open.
    /// Preconditions: the service has an engine.
    void check(const relay_service& service, time_ms now)
    {
        auto& state = this->context.service(service.name);
        auto& before = this->looks[service.name];
        const auto last = std::exchange(before.at, now);
        std::map<std::string, time_ms> retiring;
        std::vector<std::shared_ptr<relay_session>> moving;
        for (const auto& [target, sessions] : state.sessions) {
            const auto* replica =
                state.board.is_listed(target) ? nullptr : this->view.find_replica(service.name, target);
            if (replica == nullptr || replica->phase != replica_phase::retiring) {
                continue;
            }
            const auto known = before.since.find(target);
            const auto began = known == before.since.end() ? now : known->second;
            retiring[target] = began;
            auto look = this->state_of(service, *replica, now);
            look.retiring_for = now - began;
            look.since_last_look = now - last;
            for (auto* session : sessions) {
                look.draw = this->context.draw();
                if (should_move(look)) {
                    moving.push_back(session->shared_from_this());
                }
            }
        }
        before.since = std::move(retiring);
        for (const auto& session : moving) {
            session->fail_over("its replica is to be formed anew");
        }
    }

private:
    struct last_look {
        time_ms at;
        std::map<std::string, time_ms> since; ///< Since when replicas with open streams are retiring.
    };

    [[nodiscard]] retiring_state state_of(const relay_service& service, const replica_entry& replica,
                                          time_ms now)
    {
        auto& state = this->context.service(service.name);
        const auto* model = find_model(service, replica.model);
        retiring_state look;
        look.targets = state.board.count(replica.model, now);
        if (model != nullptr) {
            const auto load =
                this->context.fleet_load(service.name, replica.model, state.meters[replica.model]);
            look.needed = replicas_for(*service.engine, *model, load);
        }
        return look;
    }

    relay_context& context;
    const fleet_view& view;
    std::map<std::string, last_look> looks; ///< By service.
};

} // namespace coriander
