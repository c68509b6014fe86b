#pragma once

#include "coriander/clock.hpp"
#include "coriander/relay/permit_issuer.hpp"
#include "coriander/relay/permit_message.hpp"
#include "gateway/pending_answers.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
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
        : issuer_of{std::move(issuer_of)}, send{std::move(send)}, pending{loop}
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
        const auto id = this->pending.new_id();
        this->pending.wait_for(id, answer_timeout, {false, unanswered_wait}, std::move(done));
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
            this->pending.resolve(one.id, one.decision);
        }
    }

private:
    /// The other daemon is a round trip of a few milliseconds away.
    static constexpr time_ms answer_timeout{50};
    /// How long an unanswered request counts as denied: the issuer may be about to be replaced.
    static constexpr time_ms unanswered_wait{200};

    issuer_lookup issuer_of;
    sender send;
    monotonic_clock clock;
    permit_issuer issuer;
    pending_answers<permit_decision> pending;
};

} // namespace coriander
