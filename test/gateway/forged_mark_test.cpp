#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

const std::string bare_mark = "Coriander-Relayed: 1\r\n";
/// Has the form of a gateway's mark.
const std::string well_formed_mark = "Coriander-Relayed: " + std::string(64, 'a') + " edge-2\r\n";

/// A gateway whose callers claim to be gateways.
struct deceived_relay : relay_fixture {
    deceived_relay()
        : relay_fixture{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)}
    {
    }
};

} // namespace

TEST_CASE("forged mark: callers do not use up the places kept for gateways that are cut off")
{
    for (const auto& mark : {bare_mark, well_formed_mark}) {
        relay_fixture relay{repetition::idempotent, respond_with(""), respond_with("")};
        relay.send(mark);
        REQUIRE(relay.loop.run_until([&] { return relay.requests_sent() == 1; }));
        CHECK(relay.context.relayed_requests == 0);
    }
}

TEST_CASE("forged mark: the last place stays free for a gateway that is cut off")
{
    // Forged requests stay open.
    const auto serve_others = [](tcp_link& link, const std::string& request) {
        link.write(contains(request, "X-Forged") ? "" : ok_response);
    };
    relay_fixture helper{repetition::idempotent, serve_others, serve_others};
    helper.context.relayed_requests = relay_context::max_relayed_requests - 1;
    helper.send(bare_mark + "X-Forged: 1\r\n");
    REQUIRE(helper.loop.run_until([&] { return helper.requests_sent() == 1; }));
    helper.context.name = "edge-2";
    deceived_relay cut;
    cut.context.name = "edge-1";
    cut.set_targets({});
    cut.context.is_cut = [](const std::string&) { return true; };
    cut.context.relaying_gateways = [&] {
        const auto address = "127.0.0.1:" + std::to_string(helper.listener->port());
        return std::vector<relaying_gateway>{
            {{"edge-2", 1, address, {}, {}, {}, {}, {}}, helper.context.relay_key}};
    };
    cut.send();
    REQUIRE(helper.loop.run_until([&] {
        cut.loop.run_ready();
        return cut.caller->end.has_value();
    }));
    CHECK(cut.caller->head.status == 200);
    CHECK(helper.context.forged.add(helper.context.clock.now() + forged_marks::report_interval) == 1);
}

TEST_CASE("forged mark: a caller is served like others while no place is left for gateways that are cut off")
{
    for (const auto& mark : {bare_mark, well_formed_mark}) {
        deceived_relay relay;
        relay.context.relayed_requests = relay_context::max_relayed_requests;
        CHECK(relay.exchange(mark) == exchange_end::complete);
        CHECK(relay.caller->head.status == 200);
    }
}

TEST_CASE("forged mark: a refusal is the same as without it")
{
    for (const auto& mark : {std::string{}, bare_mark, well_formed_mark}) {
        deceived_relay relay;
        relay.context.rejects_new_requests = true;
        CHECK(relay.exchange(mark) == exchange_end::complete);
        CHECK(relay.caller->head.status == 503);
        CHECK(relay.caller->head.header("Coriander-Not-Run").empty());
        CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    }
}

TEST_CASE("forged mark: a gateway that is cut off passes the request on instead of refusing it")
{
    for (const auto& mark : {bare_mark, well_formed_mark}) {
        deceived_relay relay;
        relay.set_targets({});
        relay.context.is_cut = [](const std::string&) { return true; };
        relay.context.relaying_gateways = [&] {
            return std::vector<relaying_gateway>{
                {{"edge-2", 1, relay.first.address(), {}, {}, {}, {}, {}}, {}}};
        };
        CHECK(relay.exchange(mark) == exchange_end::complete);
        CHECK(relay.caller->head.status == 200);
    }
}

TEST_CASE("forged mark: the header does not reach a target, however it is written")
{
    deceived_relay relay;
    CHECK(relay.exchange("coriander-relayed: 1\r\n" + well_formed_mark + "CORIANDER-RELAYED:\r\n") ==
          exchange_end::complete);
    CHECK(relay.requests_sent() == 1);
    const auto sent = relay.first.requests().empty() ? relay.second.requests()[0] : relay.first.requests()[0];
    CHECK_FALSE(contains(sent, "elayed"));
    CHECK_FALSE(contains(sent, "ELAYED"));
}

} // namespace coriander
