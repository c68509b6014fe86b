#pragma once

#include "coriander/time_ms.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace coriander {

/// Requests to other daemons that wait for an answer, each for a limited time. Must be used on the event
/// loop's thread only, which must not run any more when this is destroyed.
template <typename Answer>
class pending_answers {
public:
    using on_answer = std::function<void(const Answer&)>;

    explicit pending_answers(asio::io_context& loop) : loop{loop} {}

    /// An id that no other request of this daemon has.
    [[nodiscard]] std::uint64_t new_id() noexcept { return ++this->last_id; }

    /// Waits for the answer to the request with this id. Calls `done` once: with the answer, or with
    /// `unanswered` after `timeout`.
    void wait_for(std::uint64_t id, time_ms timeout, Answer unanswered, on_answer done)
    {
        auto timer = std::make_unique<asio::steady_timer>(this->loop);
        timer->expires_after(std::chrono::milliseconds{timeout.count()});
        timer->async_wait([this, id, unanswered = std::move(unanswered)](const asio::error_code& cancelled) {
            if (!cancelled) {
                this->resolve(id, unanswered);
            }
        });
        this->pending[id] = {std::move(done), std::move(timer)};
    }

    /// Handles an answer; one that is late has no effect.
    void resolve(std::uint64_t id, const Answer& answer)
    {
        const auto found = this->pending.find(id);
        if (found == this->pending.end()) {
            return;
        }
        const auto done = std::move(found->second.done);
        this->pending.erase(found);
        done(answer);
    }

private:
    struct pending_request {
        on_answer done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    asio::io_context& loop;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t last_id = 0;
};

} // namespace coriander
