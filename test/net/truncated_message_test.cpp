#include "net/tcp_link.hpp"

#include "support/event_loop.hpp"
#include "support/manual_server.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace coriander {
namespace {

/// Sends a part of a message that ends with the connection, and ends the process without closing anything.
[[noreturn]] void send_part_and_exit(const asio::ip::tcp::endpoint& server)
{
    event_loop loop;
    const auto link = std::make_shared<tcp_link>(loop.context());
    link->connect(server, 5_s, nullptr);
    const bool is_connected = loop.run_until([&] { return link->is_connected(); });
    link->reset_unless_sent();
    link->write("part");
    _exit(is_connected ? 0 : 1);
}

} // namespace

TEST_CASE("tcp link: a message that ends with its connection does not look complete when the process ends")
{
    manual_server server;
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        send_part_and_exit(server.endpoint());
    }
    server.accept();
    std::string received;
    CHECK_FALSE(server.read_to_end(received));
    CHECK(received == "part");
    int status = -1;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(status == 0);
}

TEST_CASE("tcp link: a message that ends with its connection arrives whole once it has been handed over")
{
    // More than the server's socket takes before it is read, so that the rest stays in the client's.
    constexpr int small_buffer = 2048;
    const std::string message(12000, 'm');
    event_loop loop;
    manual_server server{small_buffer};
    const auto link = std::make_shared<tcp_link>(loop.context());
    link->connect(server.endpoint(), 5_s, nullptr);
    server.accept();
    REQUIRE(loop.run_until([&] { return link->is_connected(); }));
    link->reset_unless_sent();
    link->write(message);
    link->close_when_sent();
    REQUIRE(link->unsent() == 0);
    link->close();
    std::string received;
    CHECK(server.read_to_end(received));
    CHECK(received == message);
}

} // namespace coriander
