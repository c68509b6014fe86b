#include "gateway/load_exchange.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// A daemon with two targets of the service `desk`.
struct exchange_fixture {
    exchange_fixture()
    {
        this->context.service("desk").board.set_targets(std::vector{target("a"), target("b")});
    }
    static relay_target target(const std::string& id)
    {
        relay_target made;
        made.id = made.host = id;
        made.address = "10.0.0.1:80";
        made.incarnation = made.generation = 7;
        return made;
    }
    [[nodiscard]] bool may_send(const std::string& id, time_ms from_now = {})
    {
        return this->context.service("desk").board.may_send(target(id), this->context.clock.now() + from_now);
    }

    asio::io_context loop;
    relay_context context{loop, relay_dialect{}, "here"};
    load_exchange exchange{context};
};

} // namespace

TEST_CASE("load exchange: a daemon keeps to statements that another one has received")
{
    exchange_fixture one;
    exchange_fixture other;
    message_head head;
    head.status = 503;
    SECTION("leaving")
    {
        head.headers = {{"Coriander-Leaving", "1"}};
    }
    SECTION("pause")
    {
        head.headers = {{"Retry-After", "100"}};
    }
    record_statements(one.context, exchange_fixture::target("a"), head);
    other.exchange.merge(1, one.exchange.snapshot(8));
    CHECK_FALSE(other.may_send("a"));
    CHECK_FALSE(other.may_send("a", 99_s));
    CHECK(other.may_send("b"));
    exchange_fixture third; // Started again, or out of reach of the first.
    third.exchange.merge(2, other.exchange.snapshot(8));
    CHECK_FALSE(third.may_send("a"));
}

TEST_CASE("load exchange: a message that waited while the daemon stood still does not start a pause anew")
{
    exchange_fixture one;
    exchange_fixture other;
    message_head head;
    head.status = 503;
    head.headers = {{"Retry-After", "100"}};
    record_statements(one.context, exchange_fixture::target("a"), head);
    head.headers = {{"Coriander-Leaving", "1"}};
    record_statements(one.context, exchange_fixture::target("b"), head);
    other.exchange.on_activity(other.context.clock.now() - 60_s);
    other.exchange.merge(1, one.exchange.snapshot(8));
    CHECK(other.may_send("a"));
    CHECK_FALSE(other.may_send("b")); // Leaving has no end.
    exchange_fixture third;
    third.exchange.merge(2, other.exchange.snapshot(8));
    CHECK(third.may_send("a"));
}

} // namespace coriander
