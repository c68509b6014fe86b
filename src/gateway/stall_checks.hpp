#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/crash_response.hpp"
#include "gateway/kept_request_reports.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/retiring_replicas.hpp"
#include "gateway/stall_response.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace coriander {

/// Checks the targets of open requests periodically while there are any. Must be used on the event loop's
/// thread only.
template <controller_io Io>
class stall_checks {
public:
    stall_checks(asio::io_context& loop, relay_context& context, crash_response<Io>& crashes,
                 stall_response<Io>& stalls, retiring_replicas& retiring, kept_request_reports& kept)
        : context{context}, crashes{crashes}, stalls{stalls}, retiring{retiring}, kept{kept}, timer{loop}
    {
    }

    /// Starts the checks unless they are running. Call when a request has been accepted.
    void start()
    {
        if (!std::exchange(this->is_running, true)) {
            this->schedule();
        }
    }

private:
    static constexpr time_ms interval{25};
    /// If a check runs later than this, this process was itself stalled, so silent targets prove nothing.
    static constexpr time_ms max_delay{60};

    void schedule()
    {
        const auto due = this->context.clock.now() + interval;
        this->timer.expires_after(std::chrono::milliseconds{interval.count()});
        this->timer.async_wait([this, due](const asio::error_code& cancelled) {
            if (!cancelled) {
                this->check(due);
            }
        });
    }

    void check(time_ms due)
    {
        const auto now = this->context.clock.now();
        this->is_running = this->context.open_requests() > 0;
        this->crashes.check();
        if (now - due <= max_delay) {
            this->check_services(now);
        }
        else {
            this->reset_silence(now);
        }
        if (this->is_running) {
            this->schedule();
        }
    }

    void check_services(time_ms now)
    {
        if (!this->context.routes) {
            return;
        }
        const auto routes = this->context.routes;
        for (const auto& [name, service] : routes->manifest().services) {
            if (service.engine) {
                this->stalls.check(name, now);
                this->retiring.check(service, now);
                this->kept.check(name, now);
            }
        }
    }

    /// Restarts all silence timers after a stall of this process, during which it received nothing.
    void reset_silence(time_ms now)
    {
        for (auto& [name, state] : this->context.services) {
            state.board.reset_silence(now);
        }
    }

    relay_context& context;
    crash_response<Io>& crashes;
    stall_response<Io>& stalls;
    retiring_replicas& retiring;
    kept_request_reports& kept;
    asio::steady_timer timer;
    bool is_running = false;
};

} // namespace coriander
