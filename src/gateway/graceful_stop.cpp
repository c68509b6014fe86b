#include "gateway/graceful_stop.hpp"

#include "gateway/relay_session.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coriander {
namespace {

constexpr time_ms check_interval{100};
/// How long new requests are accepted: at most this time, and a third of the limit, since later ones could be
/// cut off by the exit.
constexpr time_ms max_accept_period{2500};
constexpr std::int64_t accept_divisor = 3;
/// The process exits by itself this long before it would be killed.
constexpr time_ms exit_margin{300};
/// Requests that are still open are answered this long before the exit, so that the answers leave.
constexpr time_ms answer_period{100};
/// Some callers cache a directory response for this many times its TTL.
constexpr std::int64_t max_cached_ttls = 3;

} // namespace

time_ms graceful_stop::answers_after() const
{
    return this->values.stop_limit - exit_margin - answer_period;
}

void graceful_stop::begin()
{
    log_event(event::process_stopping, {{"open", this->relay.open_requests()}});
    this->is_stopping = true;
    this->stopped_at = this->relay.clock.now();
    this->relay.exits_at = this->stopped_at + this->answers_after();
    this->proceed();
}

std::size_t graceful_stop::count_busy_connections() const
{
    std::size_t busy = 0;
    for (const auto& listener : this->listeners) {
        busy += listener->count_busy_connections();
    }
    return busy;
}

void graceful_stop::answer_open_requests()
{
    const auto busy = this->count_busy_connections();
    if (this->relay.open_requests() > 0 || busy > 0) {
        log_event(event::stop_limit_reached, {{"open", this->relay.open_requests()}, {"busy", busy}});
    }
    std::vector<std::shared_ptr<relay_session>> open;
    for (auto* session : this->relay.sessions) {
        open.push_back(session->shared_from_this());
    }
    for (const auto& session : open) {
        session->end_before_exit();
    }
}

void graceful_stop::proceed()
{
    const auto& limit = this->values.stop_limit;
    const auto since = this->relay.clock.now() - this->stopped_at;
    this->relay.rejects_new_requests = since >= std::min(max_accept_period, limit / accept_divisor);
    const auto listen_period = std::min(this->values.directory_ttl * max_cached_ttls, limit - exit_margin);
    const bool is_done =
        since >= listen_period && this->relay.open_requests() == 0 && this->count_busy_connections() == 0;
    if (is_done || since >= limit - exit_margin) {
        this->loop.stop();
        return;
    }
    if (since >= this->answers_after() && !std::exchange(this->has_answered_all, true)) {
        this->answer_open_requests();
    }
    this->timer.expires_after(std::chrono::milliseconds{check_interval.count()});
    this->timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            this->proceed();
        }
    });
}

} // namespace coriander
