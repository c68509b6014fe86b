#include "gateway/statement_intake.hpp"
#include "gateway/target_answer.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

// Requests around targets that want none for a while.
namespace coriander {
namespace {

/// A response that turns the request away, with the wait that it states.
std::string turned_away(const std::string& wait, bool has_run = false)
{
    return "HTTP/1.1 503 Busy\r\nCoriander-Attempt: a1\r\n" +
           (has_run ? std::string{} : "Coriander-Not-Run: 1\r\n") + "Retry-After: " + wait +
           "\r\nContent-Length: 0\r\n\r\n";
}

/// Sends a request and returns its status.
int status_after_exchange(relay_fixture& relay)
{
    REQUIRE(relay.exchange() == exchange_end::complete);
    return relay.caller->head.status;
}

bool may_send_to_first(relay_fixture& relay, time_ms from_now)
{
    return relay.context.service("desk").board.may_send(relay_fixture::target("first", relay.first),
                                                        relay.context.clock.now() + from_now);
}

double retry_after(const relay_fixture& relay)
{
    return std::stod(std::string{relay.caller->head.header("Retry-After")});
}

void pause(relay_fixture& relay, const std::string& id, const scripted_server& server)
{
    message_head head;
    head.status = 503;
    head.headers = {{"Retry-After", "20"}};
    record_statements(relay.context, relay_fixture::target(id, server), head);
}

} // namespace

TEST_CASE("relay session: a target that turns a request away gets none until the time that it stated")
{
    const auto kind = GENERATE(repetition::idempotent, repetition::non_idempotent);
    relay_fixture relay{kind, respond_with(turned_away("20.5")), respond_with(ok_response)};
    for (int i = 0; i < 4; ++i) {
        CHECK(status_after_exchange(relay) == 200); // Has not run, so it is tried elsewhere.
    }
    CHECK(relay.first.requests().size() == 1);
    CHECK(relay.second.requests().size() == 4);
    CHECK_FALSE(may_send_to_first(relay, 20_s));
    CHECK(may_send_to_first(relay, 22_s));
}

TEST_CASE("relay session: a target that turns requests away again and again, or for an hour, is believed")
{
    const auto* wait = GENERATE("30", "3600");
    relay_fixture relay{repetition::idempotent, respond_with(turned_away(wait)), respond_with(ok_response)};
    for (int i = 0; i < 3; ++i) {
        CHECK(status_after_exchange(relay) == 200);
        CHECK_FALSE(may_send_to_first(relay, 20_s));
        CHECK(may_send_to_first(relay, 3602_s));
    }
}

TEST_CASE(
    "relay session: if all targets want no requests, the caller is refused at once with the earliest time")
{
    relay_fixture relay{repetition::idempotent, respond_with(turned_away("40")),
                        respond_with(turned_away("20"))};
    CHECK(status_after_exchange(relay) == 503);
    CHECK(retry_after(relay) > 19.0);
    CHECK(retry_after(relay) < 23.0);
    CHECK(relay.requests_sent() == 2);
    CHECK(status_after_exchange(relay) == 503);
    CHECK(retry_after(relay) > 19.0);
    CHECK(retry_after(relay) < 23.0);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE(
    "relay session: a 503 that does not state that the request has not run is passed on, and the wait holds")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(turned_away("20", true)),
                        respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 503);
    CHECK(relay.caller->head.header("Retry-After") == "20");
    CHECK(relay.second.requests().empty());
    CHECK(status_after_exchange(relay) == 200);
    CHECK(relay.first.requests().size() == 1);
}

TEST_CASE("relay session: only a 503 with a number of seconds is a wait")
{
    const auto response = GENERATE(
        not_run_response, turned_away("Sat, 05 Dec 2026 01:00:00 GMT"), turned_away("-5"),
        turned_away("soon"), turned_away("nan"), turned_away("inf"), turned_away("3s"), turned_away("0"),
        std::string{
            "HTTP/1.1 429 Slow\r\nCoriander-Not-Run: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n"},
        signed_head("Retry-After: 20\r\nContent-Length: 2\r\n") + "ok");
    CAPTURE(response);
    relay_fixture relay{repetition::idempotent, respond_with(response), respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    CHECK(may_send_to_first(relay, {}));
}

TEST_CASE("relay session: a permit issued before the target wanted no requests is not used")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    std::function<void(permit_decision)> answer;
    relay.context.request_permit = [&answer](const rate_limit& /*limit*/,
                                             const std::function<void(permit_decision)>& done) {
        answer = done;
    };
    relay.context.service("desk").board.on_rate_limit("first", 3.5, relay.context.clock.now());
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return answer != nullptr; }));
    pause(relay, "first", relay.first);
    answer({true, {}});
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.first.requests().empty());
}

TEST_CASE("relay session: a stream neither moves to nor resumes at a target that wants no requests")
{
    auto relay = divided_stream();
    const auto session = relay.begin_stream();
    auto& state = relay.context.service("desk");
    pause(relay, "second", relay.second);
    session->fail_over();
    CHECK(state.sessions.count("first") == 1); // It goes on where it is.
    CHECK(relay.second.requests().empty());
}

TEST_CASE("relay session: waits are seconds, whole or with a fraction")
{
    CHECK(parse_retry_after("2") == 2_s);
    CHECK(parse_retry_after("0.25") == 250_ms);
    CHECK(parse_retry_after("0.0001") == 1_ms); // Never shorter than stated.
    CHECK(parse_retry_after("0") == time_ms{});
    CHECK(parse_retry_after("1e300") > 3600_s);
    for (const auto* text : {"", "-1", "x", "2 s", "nan", "inf", "Sat, 05 Dec 2026 01:00:00 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_retry_after(text));
    }
}

} // namespace coriander
