#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

// Requests that need a place at their targets.
namespace coriander {
namespace {

/// A fixture whose targets run a model, so that requests need places there.
struct place_fixture : relay_fixture {
    explicit place_fixture(repetition kind = repetition::idempotent)
        : relay_fixture{kind, respond_with(kind == repetition::resumable ? stream_response : ok_response),
                        respond_with(kind == repetition::resumable ? stream_response : ok_response)}
    {
        auto manifest = this->context.routes->manifest();
        manifest.routes.front().latency_objective = 10_s;
        engine_profile engine;
        engine.slots = 2;
        engine.models = {{"m", 1, 1.0, 1.0, {}, {}}};
        manifest.services["desk"].engine = engine;
        this->context.routes = std::make_shared<const route_table>(std::move(manifest));
        auto first_target = target("first", this->first);
        auto second_target = target("second", this->second);
        first_target.model = second_target.model = "m";
        this->set_targets({first_target, second_target});
        this->context.keeps_places = true;
        this->context.request_place = [this](const place_request& wanted,
                                             const place_exchange::on_decision& done) {
            this->wanted.push_back(wanted);
            const auto outcome = this->outcomes.empty()
                                     ? place_outcome::granted
                                     : this->outcomes[(this->wanted.size() - 1) % this->outcomes.size()];
            done(outcome, {this->wanted.size(), wanted.target, {}});
        };
        this->context.release_place = [this](const held_place& place, answer_timing timing) {
            this->released[place.id] = timing;
        };
    }

    exchange_end ask() { return this->exchange("Coriander-Model: m\r\n"); }

    static inline const std::string stream_response = stream_head + chunk_of_event(1) + last_chunk;
    std::vector<place_outcome> outcomes; ///< In turn; empty: all are granted.
    std::vector<place_request> wanted;
    std::map<std::uint64_t, answer_timing> released;
};

} // namespace

TEST_CASE("relay session: a place is given back when the attempt ends, with the timing of the first event")
{
    SECTION("a stream")
    {
        place_fixture relay{repetition::resumable};
        CHECK(relay.ask() == exchange_end::complete);
        REQUIRE(relay.released.size() == 1);
        CHECK(relay.released.at(1) == answer_timing::in_time);
    }
    SECTION("a whole answer has no first event")
    {
        place_fixture relay;
        CHECK(relay.ask() == exchange_end::complete);
        REQUIRE(relay.released.size() == 1);
        CHECK(relay.released.at(1) == answer_timing::unknown);
    }
    SECTION("also if the caller leaves")
    {
        place_fixture relay;
        relay.send("Coriander-Model: m\r\n");
        REQUIRE(relay.loop.run_until([&] { return relay.wanted.size() == 1; }));
        relay.caller->disconnect();
        REQUIRE(relay.loop.run_until([&] { return relay.released.size() == 1; }));
    }
}

TEST_CASE("relay session: a request goes to another target if the first one has no place for it")
{
    place_fixture relay;
    relay.outcomes = {place_outcome::denied, place_outcome::granted};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    REQUIRE(relay.wanted.size() == 2);
    CHECK(relay.wanted[0].tries == 0);
    CHECK(relay.wanted[1].tries == 1);
    CHECK(relay.wanted[0].target != relay.wanted[1].target);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: without a place anywhere a request is refused at once as not run, with Retry-After")
{
    place_fixture relay{repetition::non_idempotent};
    relay.outcomes = {place_outcome::denied};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 0);
    CHECK(relay.released.empty());
}

TEST_CASE("relay session: a keeper that does not answer holds no request up")
{
    place_fixture relay;
    relay.outcomes = {place_outcome::unanswered};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.released.empty());
}

TEST_CASE("relay session: a place at a target that may get nothing any more is given back unused")
{
    place_fixture relay;
    relay.context.request_place = [&](const place_request& wanted, const place_exchange::on_decision& done) {
        relay.wanted.push_back(wanted);
        if (relay.wanted.size() == 1) {
            relay.context.emptied.on_report({"here", {1, 1}, true, 3_s}, relay.context.clock.now());
        }
        done(place_outcome::granted, {relay.wanted.size(), wanted.target, {}});
    };
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.wanted.size() == 2);
    CHECK(relay.released.size() == 2);
    CHECK(relay.first.requests().empty());
}

} // namespace coriander
