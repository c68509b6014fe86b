#include "net/caller_connection.hpp"
#include "net/http_listener.hpp"

#include "support/event_loop.hpp"
#include "support/raw_caller.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

namespace coriander {
namespace {

constexpr time_ms short_timeout{20};
const std::string ok_line = "HTTP/1.1 200";

/// Lets the server's timers expire while its loop does not run, as when the process stands still.
void stand_still()
{
    std::this_thread::sleep_for(std::chrono::milliseconds{2 * short_timeout.count()});
}

/// A listener that answers at once or, if `answers` is cleared, leaves the answer to the test.
struct stalling_server {
    stalling_server()
    {
        connection_handlers handlers;
        handlers.on_request = [this](const std::shared_ptr<caller_connection>& caller,
                                     const incoming_request& one) {
            this->callers.push_back(caller);
            this->targets.push_back(one.head.target);
            if (this->answers) {
                caller->send(200, {}, one.head.target + this->padding);
            }
        };
        handlers.limits = [this] {
            ++this->limits_read;
            return this->limits;
        };
        handlers.is_closing = [this] { return this->is_closing; };
        this->listener = std::make_shared<http_listener>(
            this->loop.context(), asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, handlers);
        this->listener->start();
    }
    ~stalling_server() { this->listener->stop(); }
    stalling_server(const stalling_server&) = delete;
    stalling_server& operator=(const stalling_server&) = delete;

    /// A connection that the server has just accepted; the loop has not run since.
    raw_caller accept()
    {
        const auto before = this->limits_read;
        raw_caller caller{this->listener->port()};
        REQUIRE(this->loop.run_until([&] { return this->limits_read > before; }));
        return caller;
    }

    /// Runs the loop until the caller got `text` or its connection ended.
    bool reaches(raw_caller& caller, std::string_view text)
    {
        return this->loop.run_until([&] { return caller.has_received(text) || caller.is_closed(); }) &&
               caller.has_received(text);
    }

    event_loop loop;
    connection_limits limits{16384, 4194304, 60_s, 60_s};
    std::size_t limits_read = 0;
    bool answers = true;
    std::string padding; ///< Added to each answer.
    bool is_closing = false;
    std::shared_ptr<http_listener> listener;
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<std::string> targets;
};

} // namespace

TEST_CASE("caller connection: part of a request that arrives as the idle time ends is not answered 408")
{
    stalling_server server;
    server.limits.idle_timeout = short_timeout;
    auto caller = server.accept();
    stand_still();
    caller.send("GET /1 HTTP/1.1\r\nX: ");
    const auto before = server.limits_read;
    REQUIRE(server.loop.run_until([&] { return server.limits_read > before || caller.is_closed(); }));
    server.loop.run_ready();
    caller.send("y\r\n\r\n");
    CHECK(server.reaches(caller, ok_line));
}

TEST_CASE("caller connection: the timer of an earlier request does not close a connection")
{
    stalling_server server;
    server.limits.idle_timeout = short_timeout;
    auto caller = server.accept();
    server.limits.idle_timeout = 60_s;
    stand_still();
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    CHECK(server.reaches(caller, "/2"));
    server.loop.run_ready();
    caller.send("GET /3 HTTP/1.1\r\n\r\n");
    CHECK(server.reaches(caller, "/3"));
}

TEST_CASE("caller connection: a request in the socket is read before an idle connection is closed")
{
    constexpr std::size_t more_than_a_batch = 200;
    stalling_server server;
    std::vector<raw_caller> others;
    for (std::size_t i = 0; i < more_than_a_batch; ++i) {
        others.push_back(server.accept());
    }
    server.limits.idle_timeout = short_timeout;
    auto caller = server.accept();
    stand_still();
    for (auto& other : others) {
        other.send("GET /other HTTP/1.1\r\n\r\n");
    }
    caller.send("GET /1 HTTP/1.1\r\n\r\n");
    CHECK(server.reaches(caller, ok_line));
}

TEST_CASE("caller connection: a whole request in the socket is not answered 408 when the header time ends")
{
    constexpr std::size_t more_than_a_batch = 200;
    stalling_server server;
    std::vector<raw_caller> others;
    for (std::size_t i = 0; i < more_than_a_batch; ++i) {
        others.push_back(server.accept());
    }
    server.limits.header_timeout = short_timeout;
    auto caller = server.accept();
    caller.send("GET /1 HTTP/1.1\r\n");
    const auto before = server.limits_read;
    REQUIRE(server.loop.run_until([&] { return server.limits_read > before; }));
    stand_still();
    for (auto& other : others) {
        other.send("GET /other HTTP/1.1\r\n\r\n");
    }
    caller.send("\r\n");
    CHECK(server.reaches(caller, ok_line));
}

TEST_CASE("caller connection: an idle connection lasts as long as the idle time in force")
{
    stalling_server server;
    server.limits.idle_timeout = short_timeout;
    auto caller = server.accept();
    server.limits.idle_timeout = 60_s;
    stand_still();
    const auto before = server.limits_read;
    REQUIRE(server.loop.run_until([&] { return server.limits_read > before || caller.is_closed(); }));
    CHECK_FALSE(caller.is_closed());
    caller.send("GET /1 HTTP/1.1\r\n\r\n");
    CHECK(server.reaches(caller, ok_line));
}

TEST_CASE("caller connection: a request keeps the limits that were in force when it began")
{
    stalling_server server;
    server.limits.max_body_bytes = 10;
    auto caller = server.accept();
    caller.send("POST /1 HTTP/1.1\r\nContent-Length: 10\r\n\r\n01234");
    const auto before = server.limits_read;
    REQUIRE(server.loop.run_until([&] { return server.limits_read > before; }));
    server.limits.max_body_bytes = 5;
    server.limits.max_header_bytes = 5;
    caller.send("56789");
    CHECK(server.reaches(caller, ok_line));
}

TEST_CASE("caller connection: a refusal reaches a caller that is still sending its request")
{
    stalling_server server;
    server.limits.max_body_bytes = 10;
    auto caller = server.accept();
    const std::string body(4000000, 'b');
    caller.send("POST /1 HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    std::size_t sent = caller.send_some(body);
    REQUIRE(server.loop.run_until([&] {
        if (!caller.is_closed() || !caller.is_reset) {
            sent += caller.send_some(std::string_view{body}.substr(sent));
        }
        return sent == body.size() || caller.is_reset;
    }));
    CHECK(server.reaches(caller, "413"));
    CHECK(server.loop.run_until([&] { return caller.is_closed(); }));
    CHECK_FALSE(caller.is_reset);
}

TEST_CASE("caller connection: chunks after an oversized one are not taken for the rest of the body")
{
    stalling_server server;
    server.limits.max_body_bytes = 10;
    auto caller = server.accept();
    caller.send(
        "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n1\r\nx\r\n0\r\n\r\n");
    CHECK(server.reaches(caller, "413"));
    CHECK(server.targets.empty());
}

TEST_CASE("caller connection: a request that was read before a graceful shutdown is answered")
{
    stalling_server server;
    server.answers = false;
    auto caller = server.accept();
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(server.loop.run_until([&] { return server.targets.size() == 1; }));
    server.is_closing = true;
    server.answers = true;
    server.callers[0]->send(200, {}, "/1");
    CHECK(server.reaches(caller, "/2"));
    CHECK(server.loop.run_until([&] { return caller.is_closed(); }));
    CHECK(caller.received.find("Connection: close") > caller.received.find("/1"));
}

TEST_CASE("caller connection: nothing follows the answer that closes the connection")
{
    constexpr std::size_t more_than_one_read = 4000;
    stalling_server server;
    server.padding = std::string(1000, 'b');
    auto caller = server.accept();
    std::string requests;
    for (std::size_t i = 0; i < more_than_one_read; ++i) {
        requests += "GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    }
    caller.send(requests + "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(server.reaches(caller, "/2"));
    CHECK(server.loop.run_until([&] { return caller.is_closed(); }));
    server.loop.run_ready();
    CHECK(server.targets.size() == more_than_one_read + 1);
}

TEST_CASE("http listener: a connection is busy until its answer has been written to the socket")
{
    constexpr int small_buffer = 4096;
    constexpr std::size_t more_than_the_socket_takes = 16000000;
    stalling_server server;
    server.answers = false;
    server.is_closing = GENERATE(false, true);
    raw_caller caller{server.listener->port(), small_buffer};
    caller.send("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(server.loop.run_until([&] { return server.targets.size() == 1; }));
    CHECK(server.listener->count_busy_connections() == 1);
    const std::string body(more_than_the_socket_takes, 'b');
    server.callers[0]->send(200, {}, body);
    server.callers.clear();
    CHECK(server.listener->count_busy_connections() == 1);
    REQUIRE(server.loop.run_until([&] {
        caller.receive();
        return caller.received.size() > body.size();
    }));
    server.loop.run_ready();
    CHECK(server.listener->count_busy_connections() == 0);
}

TEST_CASE("http listener: a request in the socket is read before its connection counts as idle")
{
    stalling_server server;
    server.answers = false;
    auto caller = server.accept();
    CHECK(server.listener->count_busy_connections() == 0);
    const auto is_whole = GENERATE(false, true);
    caller.send(is_whole ? "GET /1 HTTP/1.1\r\n\r\n" : "GET /1 HT");
    CHECK(server.listener->count_busy_connections() == 1);
    CHECK(server.targets.size() == (is_whole ? 1 : 0));
}

TEST_CASE("http listener: a refused request does not keep its connection busy")
{
    stalling_server server;
    server.limits.max_body_bytes = 10;
    auto caller = server.accept();
    caller.send("POST /1 HTTP/1.1\r\nContent-Length: 20\r\n\r\n01234567890123456789");
    CHECK(server.reaches(caller, "413"));
    CHECK(server.listener->count_busy_connections() == 0);
}

} // namespace coriander
