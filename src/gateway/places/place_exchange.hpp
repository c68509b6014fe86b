#pragma once

#include "coriander/clock.hpp"
#include "coriander/relay/place_keeper.hpp"
#include "coriander/relay/place_message.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/pending_answers.hpp"
#include "gateway/places/held_place.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

// Places at targets: decided by the keeper of each target, asked for and given back by all gateways.
namespace coriander {

/// How a request for a place ended.
enum class place_outcome { granted, denied, unanswered };

/// Gets places at targets from the daemons that keep them, and keeps those that this daemon is responsible
/// for. Must be used on the event loop's thread only.
class place_exchange {
public:
    using on_decision = std::function<void(place_outcome, const held_place&)>;
    /// Returns the address of the daemon that keeps the places of a target; nothing if it is this one.
    using keeper_lookup = std::function<std::optional<std::string>(std::uint64_t target)>;
    /// Sends a message to the daemon with this address.
    using sender = std::function<void(const std::string& address, const place_message&)>;
    /// Returns the target's last load report, if this daemon knows it.
    using load_lookup = std::function<std::optional<load_report>(std::uint64_t target)>;
    /// Uniform in [0, 1).
    using draw_source = std::function<double()>;

    place_exchange(asio::io_context& loop, keeper_lookup keeper_of, sender send, load_lookup reported,
                   draw_source draw);

    /// Requests a place; the id of `wanted` is set here. `done` is called once, possibly before this function
    /// returns.
    void request(place_request wanted, on_decision done);
    /// Gives a place back.
    void release(const held_place& place, answer_timing timing);
    /// Handles a message of the daemon with the address `from`.
    void receive(const std::string& from, const place_message& message);

private:
    /// The keeper is a round trip of a few milliseconds away.
    static constexpr time_ms answer_timeout{40};
    /// How long a keeper's address is used: finding it takes all daemons' names.
    static constexpr time_ms address_validity{500};

    struct keeper_address {
        std::optional<std::string> address;
        time_ms found_at;
    };

    [[nodiscard]] const std::optional<std::string>& keeper_of(std::uint64_t target);

    keeper_lookup find_keeper;
    sender send;
    load_lookup reported;
    draw_source draw;
    monotonic_clock clock;
    place_keeper keeper;
    std::map<std::uint64_t, keeper_address> keepers; ///< By target.
    pending_answers<place_outcome> pending;
};

} // namespace coriander
