#include "gateway/domains/emptied_domain_watch.hpp"

#include "gateway/fleet_planner.hpp"
#include "gateway/load_exchange.hpp"
#include "peer/peer_message.hpp"
#include "support/fleet_samples.hpp"
#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

// Failure domains that an operator empties, as requests and plans of a gateway see them.
namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

emptied_domain_report empty_since(time_ms age)
{
    return {"here", {1, 5}, true, age};
}

} // namespace

TEST_CASE("emptied domain watch: new requests go to another domain, and are refused if there is none")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    int changes = 0;
    emptied_domain_watch watch{relay.context, [&] { ++changes; }};
    watch.apply(empty_since(3_s), "store");
    watch.apply(empty_since(3_s), "peer");
    CHECK(changes == 1);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.first.requests().empty());
    CHECK(relay.second.requests().size() == 1);
    watch.apply({"there", {1, 6}, true, 3_s}, "store");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("emptied domain watch: a stream that runs when its domain is emptied ends there")
{
    std::weak_ptr<tcp_link> link_of_first;
    relay_fixture relay{repetition::resumable,
                        [&](tcp_link& link, const std::string& /*request*/) {
                            link_of_first = link.shared_from_this();
                            link.write(stream_head + chunk_of_event(1));
                        },
                        respond_with(stream_head + chunk_of_event(2) + last_chunk)};
    const auto session = relay.begin_stream();
    emptied_domain_watch watch{relay.context, [] {}};
    watch.apply(empty_since(3_s), "store");
    CHECK(session->has_begun());
    CHECK(relay.second.requests().empty());
    SECTION("and is resumed elsewhere if its target is lost")
    {
        link_of_first.lock()->close();
        REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
        CHECK(relay.caller->end == exchange_end::complete);
        CHECK(relay.second.requests().size() == 1);
    }
}

TEST_CASE("emptied domain watch: a permit that was issued before does not lead into an emptied domain")
{
    relay_fixture relay{repetition::idempotent,
                        respond_with(signed_head("Coriander-Limit: 3.5\r\nContent-Length: 2\r\n") + "ok"),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    REQUIRE(relay.first.requests().size() == 1);
    emptied_domain_watch watch{relay.context, [] {}};
    std::function<void(permit_decision)> answer;
    relay.context.request_permit = [&](const rate_limit& /*limit*/,
                                       const std::function<void(permit_decision)>& done) { answer = done; };
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return static_cast<bool>(answer); }));
    watch.apply(empty_since(3_s), "store");
    answer({true, {}});
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.first.requests().size() == 1);
    CHECK(relay.second.requests().size() == 1);
}

TEST_CASE("emptied domain watch: a gateway learns from the message of another one, with the age")
{
    relay_fixture teller{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    emptied_domain_watch told{teller.context, [] {}};
    emptied_domain_watch watch{relay.context, [] {}};
    load_exchange from{teller.context};
    load_exchange to{relay.context};
    to.set_emptied_listener([&](auto reports) { watch.merge(reports); });
    told.apply(empty_since(3_s), "store");
    peer_message message;
    message.loads = from.snapshot(16);
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    to.merge(7, read.value().loads);
    CHECK(relay.context.emptied.is_emptied("here"));
    CHECK(relay.context.emptied.share("here", relay.context.clock.now()) == 0.0);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.first.requests().empty());
}

TEST_CASE("fleet planner: replicas of an emptied domain are formed elsewhere, and nothing is planned there")
{
    emptied_domains domains;
    fleet_view view;
    view.observe(domains);
    auto emptied = samples::free_hosts_of("a", 12, "large");
    for (auto& host : emptied) {
        host.failure_domain = "leuven";
    }
    for (const auto& host : emptied) {
        view.set_host(host, start);
    }
    for (const auto& host : samples::free_hosts_of("b", 12, "large")) {
        view.set_host(host, start);
    }
    fleet_planner planner{view, {}};
    CHECK(planner.plan(samples::assistant(), start + 10_s).replicas.contains("a"));
    domains.on_report({"leuven", {1, 5}, true, {}}, start);
    const auto plan = planner.plan(samples::assistant(), start + 10_s);
    CHECK_FALSE(plan.replicas.contains("a"));
    CHECK(plan.replicas.contains("b"));
    for (const auto& load : plan.loads) {
        CHECK(load.domain != "a");
    }
}

} // namespace coriander
