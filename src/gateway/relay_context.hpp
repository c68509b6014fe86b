#pragma once

#include "coriander/clock.hpp"
#include "coriander/relay/admission_forecast.hpp"
#include "coriander/relay/fleet_demand.hpp"
#include "coriander/relay/route_table.hpp"
#include "gateway/relay_dialect.hpp"
#include "gateway/service_state.hpp"
#include "net/channel_pool.hpp"
#include "runtime/metrics.hpp"

#include <asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace coriander {

/// What all requests of a gateway share. Used on the loop's thread only.
struct relay_context {
    relay_context(asio::io_context& loop, relay_dialect dialect, std::string failure_domain)
        : loop{loop}, dialect{std::move(dialect)},
          failure_domain{std::move(failure_domain)}, channels{loop}, random{std::random_device{}()}
    {
    }

    asio::io_context& loop;
    relay_dialect dialect;
    std::string failure_domain; ///< This daemon's own.
    monotonic_clock clock;
    metrics counters;
    channel_pool channels;
    std::mt19937 random;
    std::shared_ptr<const route_table> routes; ///< Null until the first manifest is known.
    std::map<std::string, service_state> services;
    retry_window_settings retry_bounds;
    fleet_demand demand;
    std::size_t daemons = 1; ///< That take callers' requests, this one included.
    std::size_t open_requests = 0;
    std::size_t held_bytes = 0; ///< Of answers that are passed on only when they are whole.
    /// Part of an entry host's memory: the smallest have 160 MB.
    static constexpr std::size_t max_held_bytes = 32U << 20U;
    /// The most that one answer may take of it.
    static constexpr std::size_t max_answer_bytes = 8U << 20U;
    bool has_traffic = false; ///< A request has come since the start.
    bool refuses_new = false; ///< A planned stop: what comes now would be cut.

    /// Uniform in [0, 1).
    [[nodiscard]] double draw() { return std::uniform_real_distribution<double>{0.0, 1.0}(this->random); }

    /// The load of a service's model over all daemons; `meter` is this daemon's own.
    [[nodiscard]] model_traffic fleet_load(std::string_view service, std::string_view model,
                                           const model_meter& meter)
    {
        const auto now = this->clock.now();
        return this->demand.total(model_key(service, model), meter.load(now), this->daemons, now);
    }

    /// The state of a service; made when it is first asked for.
    [[nodiscard]] service_state& service(const std::string& name)
    {
        const auto [entry, is_new] = this->services.try_emplace(name);
        if (is_new) {
            entry->second.retries = retry_window{this->retry_bounds};
        }
        return entry->second;
    }
};

} // namespace coriander
