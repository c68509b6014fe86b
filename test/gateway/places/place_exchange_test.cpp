#include "gateway/places/place_exchange.hpp"

#include "peer/peer_message.hpp"
#include "support/event_loop.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {
namespace {

constexpr std::uint64_t target = 7;

/// Two daemons, of which `second` keeps all places. Messages arrive when `deliver` is called.
struct two_daemons {
    void deliver()
    {
        for (const auto& [to, message] : std::exchange(this->sent, {})) {
            (to == "first" ? this->first : this->second).receive(to == "first" ? "second" : "first", message);
        }
    }
    place_exchange::sender sender()
    {
        return [this](const std::string& to, const place_message& message) {
            this->sent.emplace_back(to, message);
        };
    }
    void request(place_exchange& from)
    {
        this->outcome.reset();
        from.request({0, target, ++this->customer, 2, 0},
                     [this](place_outcome received, const held_place& place) {
                         this->outcome = received;
                         this->place = place;
                     });
    }

    event_loop loop;
    std::vector<std::pair<std::string, place_message>> sent;
    std::optional<place_outcome> outcome;
    held_place place;
    std::uint64_t customer = 0;
    place_exchange first{this->loop.context(),
                         [](std::uint64_t) { return std::optional{std::string{"second"}}; }, this->sender(),
                         [](std::uint64_t) { return std::nullopt; }, [] { return 0.5; }};
    place_exchange second{this->loop.context(), [](std::uint64_t) { return std::nullopt; }, this->sender(),
                          [](std::uint64_t) { return std::nullopt; }, [] { return 0.5; }};
};

} // namespace

TEST_CASE("place exchange: the keeper counts the places of all daemons")
{
    two_daemons daemons;
    daemons.request(daemons.second);
    CHECK(daemons.outcome == place_outcome::granted);
    CHECK(daemons.sent.empty());
    const auto own = daemons.place;
    daemons.request(daemons.first);
    CHECK_FALSE(daemons.outcome);
    daemons.deliver();
    daemons.deliver();
    CHECK(daemons.outcome == place_outcome::denied);
    daemons.second.release(own, answer_timing::unknown);
    daemons.request(daemons.first);
    daemons.deliver();
    daemons.deliver();
    CHECK(daemons.outcome == place_outcome::granted);
    SECTION("and takes them back")
    {
        daemons.first.release(daemons.place, answer_timing::in_time);
        daemons.deliver();
        daemons.request(daemons.second);
        CHECK(daemons.outcome == place_outcome::granted);
    }
}

TEST_CASE("place exchange: a keeper that does not answer is reported once, and its late answer is ignored")
{
    two_daemons daemons;
    daemons.request(daemons.first);
    REQUIRE(daemons.loop.run_until([&] { return daemons.outcome.has_value(); }));
    CHECK(daemons.outcome == place_outcome::unanswered);
    daemons.outcome.reset();
    daemons.deliver();
    daemons.deliver();
    CHECK_FALSE(daemons.outcome);
}

TEST_CASE("peer message: places are decoded as they were encoded")
{
    peer_message message;
    message.permits.places.requests = {{1, 2, 3, 4, 5, 6}};
    message.permits.places.answers = {{6, true}, {7, false}};
    message.permits.places.releases = {{8, 9, answer_timing::late}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    const auto& places = read.value().permits.places;
    REQUIRE(places.requests.size() == 1);
    CHECK(places.requests[0].target == 2);
    CHECK(places.requests[0].customer == 3);
    CHECK(places.requests[0].slots == 4);
    CHECK(places.requests[0].rank == 5);
    CHECK(places.requests[0].tries == 6);
    REQUIRE(places.answers.size() == 2);
    CHECK(places.answers[0].is_granted);
    CHECK_FALSE(places.answers[1].is_granted);
    REQUIRE(places.releases.size() == 1);
    CHECK(places.releases[0].timing == answer_timing::late);
}

} // namespace coriander
