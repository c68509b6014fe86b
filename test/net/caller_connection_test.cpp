#include "coriander/clock.hpp"
#include "net/caller_connection.hpp"
#include "net/http_listener.hpp"

#include "support/event_loop.hpp"
#include "support/test_caller.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander {
namespace {

/// A listener that records its requests; the test sends the responses.
struct server_fixture {
    explicit server_fixture(std::optional<caller_budget_limits> bounds = std::nullopt)
    {
        connection_handlers handlers;
        if (bounds) {
            this->budget = std::make_shared<caller_budget>(*bounds);
            handlers.budget = this->budget;
        }
        handlers.on_request = [this](const std::shared_ptr<caller_connection>& caller, incoming_request one) {
            this->callers.push_back(caller);
            this->requests.push_back(std::move(one));
        };
        handlers.limits = [this] { return this->limits; };
        handlers.is_closing = [this] { return this->is_closing; };
        this->listener = std::make_shared<http_listener>(
            this->loop.context(), asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, handlers);
        this->listener->start();
    }
    ~server_fixture() { this->listener->stop(); }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    bool wait_for_requests(std::size_t count)
    {
        return this->loop.run_until([&] { return this->requests.size() >= count; });
    }
    bool wait_for_end(const test_caller& caller)
    {
        return this->loop.run_until([&] { return caller.end.has_value(); });
    }

    event_loop loop;
    connection_limits limits;
    bool is_closing = false;
    std::shared_ptr<caller_budget> budget;
    std::shared_ptr<http_listener> listener;
    std::vector<std::shared_ptr<caller_connection>> callers;
    std::vector<incoming_request> requests;
};

const std::string request_head = "POST /a?x=1 HTTP/1.1\r\nHost: desk.example\r\n";

} // namespace

TEST_CASE("caller connection: a request is received and its response is sent")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(request_head + "Content-Length: 5\r\n\r\nhello");
    REQUIRE(server.wait_for_requests(1));
    CHECK(server.requests[0].head.target == "/a?x=1");
    CHECK(server.requests[0].body == "hello");
    server.callers[0]->send(201, {{"X", "y"}}, "done");
    REQUIRE(server.wait_for_end(caller));
    CHECK(caller.head.status == 201);
    CHECK(caller.head.header("X") == "y");
    CHECK(caller.body == "done");
}

TEST_CASE("caller connection: pipelined requests are answered in order")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(server.wait_for_requests(1));
    CHECK(server.requests[0].head.target == "/1");
    server.callers[0]->send(200, {}, {});
    REQUIRE(server.wait_for_requests(2));
    CHECK(server.requests[1].head.target == "/2");
}

TEST_CASE("caller connection: a disconnect is detected while the response is pending")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(request_head + "\r\n");
    REQUIRE(server.wait_for_requests(1));
    bool is_disconnected = false;
    server.callers[0]->on_disconnected([&] { is_disconnected = true; });
    SECTION("before the response") {}
    SECTION("in the middle of a stream")
    {
        server.callers[0]->begin_stream(200, {});
        server.callers[0]->append("part");
    }
    caller.disconnect();
    CHECK(server.loop.run_until([&] { return is_disconnected; }));
}

TEST_CASE("caller connection: an aborted stream is received as incomplete")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(request_head + "\r\n");
    REQUIRE(server.wait_for_requests(1));
    server.callers[0]->begin_stream(200, {});
    server.callers[0]->append("part");
    SECTION("aborted")
    {
        server.callers[0]->abort();
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::lost);
    }
    SECTION("finished")
    {
        server.callers[0]->append("");
        server.callers[0]->finish_stream();
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::complete);
    }
    CHECK(caller.body == "part");
}

TEST_CASE("caller connection: a second response closes the connection instead of reaching the caller")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(request_head + "\r\n");
    REQUIRE(server.wait_for_requests(1));
    auto& connection = *server.callers[0];
    SECTION("within a stream")
    {
        const bool is_whole = GENERATE(true, false);
        connection.begin_stream(200, {});
        connection.append("part");
        if (is_whole) {
            connection.send(500, {}, "error");
        }
        else {
            connection.begin_stream(500, {});
        }
        connection.append("more");
        connection.finish_stream();
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::lost);
        CHECK(caller.body == "part");
    }
    SECTION("after a whole response")
    {
        connection.send(200, {}, "done");
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::complete);
        connection.send(500, {}, "error");
        caller.send(request_head + "\r\n");
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::lost);
        CHECK(caller.body.empty());
        CHECK(server.requests.size() == 1);
    }
    SECTION("stream bytes without a stream")
    {
        connection.finish_stream();
        REQUIRE(server.wait_for_end(caller));
        CHECK(*caller.end == exchange_end::lost);
        CHECK(caller.body.empty());
    }
}

TEST_CASE("caller connection: oversized, slow and malformed requests get an error status")
{
    struct row {
        const char* text;
        int status;
    };
    const auto one =
        GENERATE(row{"POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n01234567890123456789", 413},
                 row{"GET / HTTP/1.1\r\nX: 0123456789012345678901234567890123456789\r\n\r\n", 431},
                 row{"nonsense\r\n\r\n", 400}, row{"GET / HTTP/1.1\r\nX: ", 408});
    CAPTURE(one.text);
    server_fixture server;
    server.limits = {40, 10, 50_ms, 60_s};
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(one.text);
    REQUIRE(server.wait_for_end(caller));
    CHECK(caller.head.status == one.status);
    CHECK(caller.head.header("Connection") == "close");
    CHECK(server.requests.empty());
}

TEST_CASE("caller connection: during a graceful shutdown the last response has the header Connection: close")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send(request_head + "\r\n");
    REQUIRE(server.wait_for_requests(1));
    server.is_closing = true;
    server.callers[0]->send(200, {}, "ok");
    REQUIRE(server.wait_for_end(caller));
    CHECK(*caller.end == exchange_end::complete);
    CHECK(caller.head.header("Connection") == "close");
}

TEST_CASE("caller connection: a body that is announced as too large is refused before it arrives")
{
    server_fixture server;
    server.limits.max_body_bytes = 1000;
    test_caller caller{server.loop.context(), server.listener->port()};
    SECTION("by one byte")
    {
        caller.send(request_head + "Content-Length: 1001\r\n\r\n");
    }
    SECTION("by far")
    {
        caller.send(request_head + "Content-Length: 9000000000000000000\r\n\r\n");
    }
    REQUIRE(server.wait_for_end(caller));
    CHECK(caller.head.status == 413);
    CHECK(server.requests.empty());
}

TEST_CASE("caller connection: a body has time while parts of it come, up to a limit, and a head has not")
{
    connection_limits limits;
    limits.header_timeout = 3_s;
    limits.body_timeout = 30_s;
    constexpr time_ms start = 1'000'000_ms;
    CHECK(body_time_left(limits, start, start, start) == 3_s);
    CHECK(body_time_left(limits, start, start + 2_s, start + 4_s) == 1_s);
    CHECK(body_time_left(limits, start, start + 2_s, start + 5_s) == 0_s);
    CHECK(body_time_left(limits, start, start + 29_s, start + 29_s) == 1_s);
    CHECK(body_time_left(limits, start, start + 30_s, start + 30_s) == 0_s);
}

TEST_CASE("caller connection: a request waits while another one holds all the room, and is served afterwards")
{
    server_fixture server{caller_budget_limits{1000000, 10}};
    test_caller first{server.loop.context(), server.listener->port()};
    first.send(request_head + "Content-Length: 600000\r\n\r\n" + std::string(600000, 'a'));
    REQUIRE(server.wait_for_requests(1));
    test_caller second{server.loop.context(), server.listener->port()};
    second.send(request_head + "Content-Length: 600000\r\n\r\n" + std::string(600000, 'b'));
    REQUIRE(server.loop.run_until([&] { return server.budget->waiting_connections() == 1; }));
    CHECK(server.requests.size() == 1);
    server.callers[0]->send(200, {}, {});
    server.budget->relieve(monotonic_clock{}.now());
    REQUIRE(server.wait_for_requests(2));
    CHECK(server.requests[1].body == std::string(600000, 'b'));
}

TEST_CASE("caller connection: a request for which there is no room is refused with Retry-After")
{
    server_fixture server{caller_budget_limits{1000000, 10}};
    test_caller first{server.loop.context(), server.listener->port()};
    first.send(request_head + "Content-Length: 520000\r\n\r\n" + std::string(520000, 'a'));
    REQUIRE(server.wait_for_requests(1));
    test_caller second{server.loop.context(), server.listener->port()};
    second.send(request_head + "Content-Length: 600000\r\n\r\n" + std::string(600000, 'b'));
    REQUIRE(server.loop.run_until([&] { return server.budget->waiting_connections() == 1; }));
    server.budget->relieve(monotonic_clock{}.now() + 10_s);
    REQUIRE(server.wait_for_end(second));
    CHECK(second.head.status == 503);
    CHECK(second.head.header("Retry-After") == "1");
    CHECK(server.requests.size() == 1);
}

TEST_CASE("caller connection: beyond the number of connections an idle one is closed for a new one")
{
    server_fixture server{caller_budget_limits{1000000, 2}};
    const auto wait_for_connections = [&](std::size_t count) {
        return server.loop.run_until([&] { return server.budget->connections() == count; });
    };
    test_caller first{server.loop.context(), server.listener->port()};
    first.send({}); // So that the end of the connection is recorded.
    REQUIRE(wait_for_connections(1));
    test_caller second{server.loop.context(), server.listener->port()};
    REQUIRE(wait_for_connections(2));
    test_caller third{server.loop.context(), server.listener->port()};
    REQUIRE(server.wait_for_end(first));
    third.send(request_head + "\r\n");
    REQUIRE(server.wait_for_requests(1));
    CHECK(server.budget->connections() == 2);
}

TEST_CASE("caller connection: pipelined requests wait while the answers before them are not read")
{
    server_fixture server;
    test_caller caller{server.loop.context(), server.listener->port()};
    caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    caller.pause_reading();
    REQUIRE(server.wait_for_requests(1));
    // More than the sockets hold.
    std::string answer;
    answer.resize(std::size_t{64} << 20U, 'a');
    server.callers[0]->send(200, {}, answer);
    for (int turn = 0; turn < 100; ++turn) {
        server.loop.run_ready();
    }
    CHECK(server.requests.size() == 1);
    caller.resume_reading();
    REQUIRE(server.wait_for_requests(2));
}

} // namespace coriander
