#include "gateway/manifest_doubt.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 100_s;

} // namespace

TEST_CASE("manifest doubt: without a cause, the manifest in force is the newest")
{
    manifest_doubt doubt;
    doubt.on_peer_version(7, start);
    doubt.on_table_reach(true, start);
    CHECK(doubt.cause(7, start) == manifest_doubt_cause::none);
}

TEST_CASE("manifest doubt: a peer that has a newer manifest counts until this daemon has it, or for 6 s")
{
    manifest_doubt doubt;
    doubt.on_peer_version(8, start);
    CHECK(doubt.cause(7, start + 5_s) == manifest_doubt_cause::peer_is_ahead);
    CHECK(doubt.age(manifest_doubt_cause::peer_is_ahead, start + 5_s) == 5_s);
    CHECK(doubt.cause(8, start + 5_s) == manifest_doubt_cause::none);
    CHECK(doubt.cause(7, start + 6_s) == manifest_doubt_cause::none);
    doubt.on_peer_version(8, start + 7_s); // Repeated with each heartbeat.
    CHECK(doubt.cause(7, start + 7_s) == manifest_doubt_cause::none);
}

TEST_CASE("manifest doubt: an outage of the table counts at its start only")
{
    manifest_doubt doubt;
    doubt.on_table_reach(false, start);
    doubt.on_table_reach(false, start + 1_s);
    CHECK(doubt.cause(7, start + 1_s) == manifest_doubt_cause::table_unreachable);
    CHECK(doubt.cause(7, start + 6_s) == manifest_doubt_cause::none);
    doubt.on_table_reach(true, start + 7_s);
    doubt.on_table_reach(false, start + 8_s);
    CHECK(doubt.cause(7, start + 8_s) == manifest_doubt_cause::table_unreachable);
}

TEST_CASE("manifest doubt: a received manifest that is not in force yet counts")
{
    manifest_doubt doubt;
    doubt.on_waiting(start);
    CHECK(doubt.cause(7, start + 100_ms) == manifest_doubt_cause::not_applied_yet);
    doubt.on_waiting({});
    CHECK(doubt.cause(7, start + 100_ms) == manifest_doubt_cause::none);
}

TEST_CASE(
    "manifest doubt: a caller whose route may be in a newer manifest is asked to come again, not told 404")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.context.doubt.on_peer_version(2, relay.context.clock.now()); // Version 1 is in force.
    relay.caller->send("GET /a HTTP/1.1\r\nHost: new.example\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 0);
}

} // namespace coriander
