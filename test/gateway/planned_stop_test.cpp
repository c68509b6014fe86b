#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

const relay_fixture::script never_respond = [](tcp_link& /*link*/, const std::string& /*request*/) {};

/// Ends all open requests, as a gateway does at the end of a planned stop.
void end_all(relay_fixture& relay)
{
    REQUIRE(relay.context.open_requests() == 1);
    (*relay.context.sessions.begin())->shared_from_this()->end_before_exit();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
}

} // namespace

TEST_CASE("planned stop: a request that may run once is refused if the process could exit before its answer")
{
    const auto kind = GENERATE(repetition::non_idempotent, repetition::idempotent);
    relay_fixture relay{kind, respond_with(ok_response), respond_with(ok_response)};
    relay.context.exits_at = relay.context.clock.now() + 5_s;
    CHECK(relay.exchange() == exchange_end::complete); // With a time limit of 60 s.
    const bool may_run_once = kind == repetition::non_idempotent;
    CHECK(relay.caller->head.status == (may_run_once ? 503 : 200));
    CHECK(relay.requests_sent() == (may_run_once ? 0 : 1));
}

TEST_CASE("planned stop: a request that may run once is accepted if its time limit ends before the exit")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.context.exits_at = relay.context.clock.now() + 90_s;
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
}

TEST_CASE("planned stop: a request that is still open before the exit is not cut without an answer")
{
    relay_fixture relay{repetition::non_idempotent, never_respond, never_respond};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.requests_sent() == 1; }));
    end_all(relay);
    CHECK(relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->head.status == 502); // It may have run.
    CHECK(relay.loop.run_until([&] { return relay.first.closed() + relay.second.closed() == 1; }));
}

TEST_CASE("planned stop: a request that has not been sent before the exit is refused as not run")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.context.service("desk").board.on_rate_limit("first", 1.0, relay.context.clock.now());
    relay.context.service("desk").board.on_rate_limit("second", 1.0, relay.context.clock.now());
    relay.context.request_permit = [](const rate_limit&, const std::function<void(permit_decision)>&) {};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.context.open_requests() == 1; }));
    end_all(relay);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 0);
}

TEST_CASE("planned stop: a stream that is still open before the exit does not look complete")
{
    relay_fixture relay{repetition::resumable, respond_with(stream_head + chunk_of_event(1)), never_respond};
    (void)relay.begin_stream();
    end_all(relay);
    CHECK(relay.caller->end == exchange_end::lost);
}

} // namespace coriander
