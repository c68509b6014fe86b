#pragma once

#include "coriander/clock.hpp"
#include "coriander/relay/permit_issuer.hpp"
#include "coriander/relay/permit_message.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace coriander {

/// Gets permits for requests to targets with a rate limit from the daemon that issues them, and issues those
/// that this daemon is responsible for. Must be used on the event loop's thread only.
class permit_exchange {
public:
    using on_decision = std::function<void(permit_decision)>;
    /// Returns the address of the daemon that issues the permits of a target; nothing if it is this one.
    using issuer_lookup = std::function<std::optional<std::string>(std::uint64_t target)>;
    /// Sends a message to the daemon with this address.
    using sender = std::function<void(const std::string& address, const permit_message&)>;

    permit_exchange(asio::io_context& loop, issuer_lookup issuer_of, sender send)
        : loop{loop}, issuer_of{std::move(issuer_of)}, send{std::move(send)}
    {
    }

    /// Requests a permit. `done` is called once, possibly before this function returns.
    void request(const rate_limit& limit, on_decision done)
    {
        const auto issuer_address = this->issuer_of(limit.target);
        if (!issuer_address) {
            done(this->issuer.decide(limit, this->clock.now()));
            return;
        }
        const auto id = ++this->last_id;
        auto timer = std::make_unique<asio::steady_timer>(this->loop);
        timer->expires_after(std::chrono::milliseconds{answer_timeout.count()});
        timer->async_wait([this, id](const asio::error_code& cancelled) {
            if (!cancelled) {
                this->resolve(id, {false, unanswered_wait});
            }
        });
        this->pending[id] = {std::move(done), std::move(timer)};
        this->send(*issuer_address, {{{id, limit}}, {}});
    }

    /// Handles a message of the daemon with the address `from`.
    void receive(const std::string& from, const permit_message& message)
    {
        permit_message answers;
        for (const auto& one : message.requests) {
            answers.answers.push_back({one.id, this->issuer.decide(one.limit, this->clock.now())});
        }
        if (!answers.answers.empty()) {
            this->send(from, answers);
        }
        for (const auto& one : message.answers) {
            this->resolve(one.id, one.decision);
        }
    }

private:
    /// The other daemon is a round trip of a few milliseconds away.
    static constexpr time_ms answer_timeout{50};
    /// How long an unanswered request counts as denied: the issuer may be about to be replaced.
    static constexpr time_ms unanswered_wait{200};

    struct pending_request {
        on_decision done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void resolve(std::uint64_t id, permit_decision decision)
    {
        const auto found = this->pending.find(id);
        if (found == this->pending.end()) {
            return; // The answer is late.
        }
        const auto done = std::move(found->second.done);
        this->pending.erase(found);
        done(decision);
    }

    asio::io_context& loop;
    issuer_lookup issuer_of;
    sender send;
    monotonic_clock clock;
    permit_issuer issuer;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t last_id = 0;
};

} // namespace coriander
