#include "gateway/statement_intake.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

// Requests around what targets state about themselves in their responses.
namespace coriander {
namespace {

const std::string leaving_response = signed_head("Coriander-Leaving: 1\r\nContent-Length: 2\r\n") + "ok";

/// Sends a request and returns its status.
int status_after_exchange(relay_fixture& relay)
{
    REQUIRE(relay.exchange() == exchange_end::complete);
    return relay.caller->head.status;
}

/// Keeps all requests for permits open until they are answered.
std::function<void(permit_decision)>& hold_permits(relay_fixture& relay,
                                                   std::function<void(permit_decision)>& answer)
{
    relay.context.request_permit = [&answer](const rate_limit& /*limit*/,
                                             const std::function<void(permit_decision)>& done) {
        answer = done;
    };
    return answer;
}

/// The statement that the fixture's target leaves.
void state_leaving(relay_fixture& relay, const std::string& id, const scripted_server& server)
{
    message_head head;
    head.headers = {{"Coriander-Leaving", "1"}};
    record_statements(relay.context, relay_fixture::target(id, server), head);
}

} // namespace

TEST_CASE("relay session: a target that states in a response only that it leaves gets no new request")
{
    const auto kind = GENERATE(repetition::idempotent, repetition::non_idempotent);
    relay_fixture relay{kind, respond_with(leaving_response), respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    CHECK(relay.caller->head.header("Coriander-Leaving") == "1");
    for (int i = 0; i < 3; ++i) {
        CHECK(status_after_exchange(relay) == 200);
    }
    CHECK(relay.first.requests().size() == 1);
    CHECK(relay.second.requests().size() == 3);
}

TEST_CASE("relay session: an error response, too, states that the target leaves")
{
    relay_fixture relay{repetition::idempotent,
                        respond_with("HTTP/1.1 503 Busy\r\nCoriander-Not-Run: 1\r\n"
                                     "Coriander-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
                        respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    auto& board = relay.context.service("desk").board;
    CHECK(board.count({}, relay.context.clock.now() + 60_s) == 1);
}

TEST_CASE(
    "relay session: a target that leaves stays out while the list goes on to show it, or shows it again")
{
    relay_fixture relay{repetition::idempotent, respond_with(leaving_response), respond_with(ok_response)};
    const auto first = relay_fixture::target("first", relay.first);
    CHECK(status_after_exchange(relay) == 200);
    relay.set_targets({first});
    CHECK(status_after_exchange(relay) == 503);
    relay.set_targets({});
    relay.set_targets({first});
    CHECK(status_after_exchange(relay) == 503);
    CHECK(relay.first.requests().size() == 1);
}

TEST_CASE("relay session: another incarnation, or another address, ends the statement that a target leaves")
{
    relay_fixture relay{repetition::idempotent, respond_with(leaving_response), respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    auto next = relay_fixture::target("first", relay.first);
    SECTION("another incarnation")
    {
        next.incarnation = 2;
    }
    SECTION("another address")
    {
        next.address = relay.second.address();
    }
    relay.set_targets({next});
    CHECK(status_after_exchange(relay) == 200);
    relay.set_targets({relay_fixture::target("first", relay.first)}); // An old copy of the list.
    CHECK(status_after_exchange(relay) == 503);
}

TEST_CASE("relay session: a leaving host's replica gets no new request under another name either")
{
    relay_fixture relay{repetition::idempotent, respond_with(leaving_response), respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    auto reformed = relay_fixture::target("first", relay.first);
    reformed.id = "reformed";
    reformed.generation = 2;
    relay.set_targets({reformed});
    CHECK(status_after_exchange(relay) == 503);
}

TEST_CASE("relay session: a permit issued before the target stated that it leaves is not used")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    std::function<void(permit_decision)> answer;
    hold_permits(relay, answer);
    relay.context.service("desk").board.on_rate_limit("first", 3.5, relay.context.clock.now());
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return answer != nullptr; }));
    state_leaving(relay, "first", relay.first);
    answer({true, {}});
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.first.requests().empty());
    CHECK(relay.second.requests().size() == 1);
}

TEST_CASE("relay session: a stream does not move to a target that states that it leaves meanwhile")
{
    auto relay = divided_stream();
    const auto session = relay.begin_stream();
    auto& state = relay.context.service("desk");
    std::function<void(permit_decision)> answer;
    hold_permits(relay, answer);
    state.board.on_rate_limit("second", 3.5, relay.context.clock.now());
    session->fail_over();
    REQUIRE(answer);
    state_leaving(relay, "second", relay.second);
    answer({true, {}});
    CHECK(state.sessions.count("first") == 1); // It goes on where it is.
    CHECK(relay.second.requests().empty());
}

TEST_CASE("relay session: a request that waits for a connection goes elsewhere when its target leaves")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(ok_response), respond_with(ok_response)};
    auto unreachable = relay_fixture::target("first", relay.first);
    unreachable.address = "192.0.2.1:9"; // Reserved for documentation: no response.
    relay.set_targets({unreachable, relay_fixture::target("second", relay.second)});
    relay.send();
    auto& state = relay.context.service("desk");
    REQUIRE(relay.loop.run_until([&] { return state.sessions.count("first") == 1; }));
    message_head head;
    head.headers = {{"Coriander-Leaving", "1"}};
    record_statements(relay.context, unreachable, head);
    CHECK(state.sessions.count("first") == 0);
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 200);
}

TEST_CASE("relay session: an attempt under way goes on at a target that states that it leaves")
{
    const auto head = signed_head("Transfer-Encoding: chunked\r\nCoriander-Leaving: 1\r\n");
    relay_fixture relay{repetition::resumable,
                        respond_with(head + chunk_of_event(1) + chunk_of_event(2) + last_chunk),
                        respond_with(stream_head + chunk_of_event(1) + last_chunk)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(contains(relay.caller->body, "id: 2"));
    CHECK(relay.second.requests().empty());
    CHECK(status_after_exchange(relay) == 200);
    CHECK(relay.second.requests().size() == 1);
}

TEST_CASE("relay session: only the value 1 states that a target leaves")
{
    const auto* value = GENERATE("0", "yes", "11", "1, 1");
    const auto response =
        signed_head("Content-Length: 2\r\nCoriander-Leaving: " + std::string{value} + "\r\n") + "ok";
    relay_fixture relay{repetition::idempotent, respond_with(response), respond_with(ok_response)};
    CHECK(status_after_exchange(relay) == 200);
    CHECK(status_after_exchange(relay) == 200);
    CHECK(relay.first.requests().size() == 2);
}

} // namespace coriander
