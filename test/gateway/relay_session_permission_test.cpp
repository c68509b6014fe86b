#include "coriander/digest.hpp"
#include "gateway/target_answer.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

// Requests that may be sent only with a permit, or not at all.
namespace coriander {
namespace {

/// A response of a target that states a rate limit.
const std::string limited_response = signed_head("Coriander-Limit: 3.5\r\nContent-Length: 2\r\n") + "ok";

/// Decides on all permits with `is_granted`, and counts them.
void decide_permits(relay_fixture& relay, bool is_granted, unsigned& count)
{
    relay.context.request_permit = [&count, is_granted](const rate_limit& /*limit*/,
                                                        const std::function<void(permit_decision)>& done) {
        ++count;
        done({is_granted, 400_ms});
    };
}

} // namespace

TEST_CASE("relay session: a target that has stated a rate limit gets requests with a permit only")
{
    relay_fixture relay{repetition::idempotent, respond_with(limited_response), respond_with(ok_response)};
    unsigned permits = 0;
    SECTION("granted")
    {
        decide_permits(relay, true, permits);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(permits == 0);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(permits == 1);
        CHECK(relay.first.requests().size() == 2);
    }
    SECTION("denied: another target gets the request")
    {
        decide_permits(relay, false, permits);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->head.status == 200);
        CHECK(permits == 1);
        CHECK(relay.first.requests().size() == 1);
        CHECK(relay.second.requests().size() == 1);
    }
}

TEST_CASE("relay session: without a permit for any target a request is refused at once with Retry-After")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(limited_response),
                        respond_with(limited_response)};
    unsigned permits = 0;
    decide_permits(relay, false, permits);
    auto& board = relay.context.service("desk").board;
    for (const auto* id : {"first", "second"}) {
        board.on_rate_limit(id, 3.5, relay.context.clock.now());
    }
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(std::stod(std::string{relay.caller->head.header("Retry-After")}) >= 0.4);
    CHECK(relay.requests_sent() == 0);
}

TEST_CASE("relay session: a permit that comes after the deadline is not used")
{
    struct permit_case {
        const char* limited;
        int status;
        unsigned sent;
    };
    const auto expected = GENERATE(permit_case{"first", 503, 0}, permit_case{"second", 502, 1});
    CAPTURE(expected.limited);
    relay_fixture relay{repetition::idempotent, respond_and_close(""), respond_with(ok_response)};
    std::function<void(permit_decision)> answer;
    relay.context.request_permit = [&](const rate_limit& /*limit*/,
                                       const std::function<void(permit_decision)>& done) { answer = done; };
    auto& board = relay.context.service("desk").board;
    board.on_rate_limit(expected.limited, 3.5, relay.context.clock.now());
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 400\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return answer != nullptr; }));
    const auto expired = relay.context.clock.now() + 420_ms;
    REQUIRE(relay.loop.run_until([&] { return relay.context.clock.now() >= expired; }));
    answer({true, {}});
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == expected.status);
    CHECK(relay.requests_sent() == expected.sent);
}

TEST_CASE("relay session: a request that waits for a permit is answered at its deadline if no decision comes")
{
    struct permit_case {
        const char* limited;
        int status;
        unsigned sent;
    };
    const auto expected = GENERATE(permit_case{"first", 503, 0}, permit_case{"second", 502, 1});
    CAPTURE(expected.limited);
    relay_fixture relay{repetition::idempotent, respond_and_close(""), respond_with(ok_response)};
    relay.context.request_permit = [](const rate_limit& /*limit*/,
                                      const std::function<void(permit_decision)>& /*done*/) {};
    relay.context.service("desk").board.on_rate_limit(expected.limited, 3.5, relay.context.clock.now());
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 400\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == expected.status);
    CHECK(relay.requests_sent() == expected.sent);
}

TEST_CASE("relay session: a response without a rate limit ends the limit")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    unsigned permits = 0;
    decide_permits(relay, true, permits);
    relay.context.service("desk").board.on_rate_limit("first", 3.5, relay.context.clock.now());
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(permits == 1);
}

TEST_CASE("relay session: a stream moves to a target with a rate limit only with a permit")
{
    auto relay = divided_stream();
    const auto session = relay.begin_stream();
    auto& state = relay.context.service("desk");
    state.board.on_rate_limit("second", 3.5, relay.context.clock.now());
    unsigned permits = 0;
    decide_permits(relay, false, permits);
    session->fail_over();
    CHECK(permits == 1);
    CHECK(state.sessions.count("first") == 1);
    decide_permits(relay, true, permits);
    state.board.defer("second", {});
    session->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(*relay.caller->end == exchange_end::complete);
    CHECK(permits == 2);
}

TEST_CASE("relay session: only positive numbers are rate limits")
{
    CHECK(parse_rate_limit("3.75") == 3.75);
    for (const auto* text : {"", "0", "-1", "x", "3 a second", "nan"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_rate_limit(text));
    }
}

TEST_CASE("relay session: a quarantined request is refused at once, and has not run")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    const auto now = relay.context.clock.now();
    const auto part = stable_hash("dead");
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        relay.context.quarantine.add(
            {crash, true, {part, crash}, time_ms{static_cast<std::int64_t>(300 * crash)}}, now);
    }
    relay.context.quarantine.evaluate(now);
    CHECK(relay.exchange("Coriander-Prompt: 5a:40,dead:30,01:10\r\n") == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 0);
    CHECK(relay.exchange("Coriander-Prompt: 5a:40,02:30,dead:10\r\n") == exchange_end::complete);
    CHECK(relay.caller->head.status == 200); // The last part belongs to the request alone.
}

TEST_CASE("relay session: a suspect that loses its target is not sent to another one")
{
    relay_fixture relay{repetition::idempotent, respond_and_close(""), respond_with(ok_response)};
    const auto now = relay.context.clock.now();
    relay.context.quarantine.add({1, true, {stable_hash("dead")}, {}}, now);
    relay.context.quarantine.evaluate(now);
    CHECK(relay.exchange("Coriander-Prompt: 5a:40,dead:30,01:10\r\n") == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.requests_sent() == 1);
}

} // namespace coriander
