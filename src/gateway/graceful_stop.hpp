#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/relay_context.hpp"
#include "net/http_listener.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace coriander {

/// A planned stop: new requests are accepted for a while, since callers cache the directory, then refused;
/// open ones are finished; what is left shortly before the process would be killed is answered with what is
/// known of it. Then the event loop stops. Must be used on the event loop's thread only.
class graceful_stop {
public:
    using listener_list = std::vector<std::shared_ptr<http_listener>>;

    /// The references must outlive the stop.
    graceful_stop(asio::io_context& loop, relay_context& relay, const gateway_settings& values,
                  const listener_list& listeners)
        : loop{loop}, relay{relay}, values{values}, listeners{listeners}, timer{loop}
    {
    }

    /// Begins the stop. Precondition: `!has_begun()`.
    void begin();
    [[nodiscard]] bool has_begun() const noexcept { return this->is_stopping; }

private:
    void proceed();
    void answer_open_requests();
    [[nodiscard]] std::size_t count_busy_connections() const;
    /// How long after the begin requests that are still open are answered.
    [[nodiscard]] time_ms answers_after() const;

    asio::io_context& loop;
    relay_context& relay;
    const gateway_settings& values;
    const listener_list& listeners;
    asio::steady_timer timer;
    time_ms stopped_at;
    bool is_stopping = false;
    bool has_answered_all = false;
};

} // namespace coriander
