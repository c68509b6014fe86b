#include "row_client.hpp"

#include "support/event_loop.hpp"
#include "support/silent_server.hpp"

#include <catch2/catch.hpp>

#include <netinet/tcp.h>

namespace coriander::platform {
namespace {

/// A connection that the system ends once it has been silent for three seconds. That is how long the platform
/// excuses an outdated manifest after connections have gone silent.
class reference_connection {
public:
    reference_connection(asio::io_context& loop, const asio::ip::tcp::endpoint& to) : socket{loop}
    {
        constexpr int probe_interval_s = 1;
        constexpr int user_timeout_ms = 2500; // Checked at each probe, so that the third one ends it.
        this->socket.open(to.protocol());
        this->socket.set_option(asio::socket_base::keep_alive{true});
        this->socket.set_option(int_option<TCP_KEEPIDLE>{probe_interval_s});
        this->socket.set_option(int_option<TCP_KEEPINTVL>{probe_interval_s});
        this->socket.set_option(int_option<TCP_USER_TIMEOUT>{user_timeout_ms});
        this->socket.connect(to);
        this->socket.write_some(asio::buffer("x", 1));
        this->socket.async_wait(asio::socket_base::wait_read,
                                [this](const asio::error_code& /*unused*/) { this->ended = true; });
    }

    [[nodiscard]] bool has_ended() const noexcept { return this->ended; }

private:
    template <int Name>
    using int_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

    asio::ip::tcp::socket socket;
    bool ended = false;
};

} // namespace

TEST_CASE("silent store: a follower on a connection that has gone silent does not miss a manifest")
{
    event_loop loop;
    silent_server store{loop.context()};
    http_call_runner calls{loop.context(), store_connections};
    row_client rows{calls, store.address()};
    bool has_failed = false;
    rows.read_changes("op", {}, 60_s, [&](const result<row_page>& page) { has_failed = !page; });
    const reference_connection reference{loop.context(), store.endpoint()};
    REQUIRE(loop.run_until([&] { return store.accepted() == 2 && store.has_received_on_all(); }));
    REQUIRE(store.silence_all());
    REQUIRE(loop.run_until([&] { return reference.has_ended(); }));
    loop.run_ready();
    CHECK(has_failed);
}

} // namespace coriander::platform
