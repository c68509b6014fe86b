#include "net/port_check.hpp"

#include "support/event_loop.hpp"

#include <catch2/catch.hpp>

#include <optional>

namespace coriander {
namespace {

port_state state_of(event_loop& loop, const asio::ip::tcp::endpoint& address, time_ms limit = 5_s)
{
    std::optional<port_state> found;
    check_port(loop.context(), address, limit, [&](port_state state) { found = state; });
    CHECK_FALSE(found);
    REQUIRE(loop.run_until([&] { return found.has_value(); }));
    return *found;
}

} // namespace

TEST_CASE("port check: a port is open while a process listens, and refused when it has ended")
{
    event_loop loop;
    asio::ip::tcp::acceptor listener{loop.context(), {asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = listener.local_endpoint();
    CHECK(state_of(loop, address) == port_state::open);
    listener.close();
    CHECK(state_of(loop, address) == port_state::refused);
}

TEST_CASE("port check: without an answer in time the state is unknown")
{
    event_loop loop;
    asio::ip::tcp::acceptor listener{loop.context(), {asio::ip::make_address("127.0.0.1"), 0}};
    CHECK(state_of(loop, listener.local_endpoint(), time_ms{}) != port_state::refused);
}

} // namespace coriander
