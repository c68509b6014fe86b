#include "net/http_call_runner.hpp"
#include "net/http_channel.hpp"
#include "net/tcp_link.hpp"

#include "support/event_loop.hpp"
#include "support/manual_server.hpp"
#include "support/response_recorder.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

namespace coriander {
namespace {

/// More than the buffers of both sockets hold.
constexpr std::size_t upload_bytes = 32U << 20U;

const std::string unframed_part = "HTTP/1.1 200 OK\r\n\r\npart";

/// A link to a server that is not on its event loop.
struct link_fixture {
    link_fixture()
    {
        this->link->listen([this](std::string_view bytes) { this->received += bytes; },
                           [this](link_end how) { this->end = how; });
        this->link->connect(this->server.endpoint(), 5_s, nullptr);
        this->server.accept();
        REQUIRE(this->loop.run_until([this] { return this->link->is_connected(); }));
    }

    link_end wait_for_end()
    {
        REQUIRE(this->loop.run_until([this] { return this->end.has_value(); }));
        return *this->end;
    }

    event_loop loop;
    manual_server server;
    std::shared_ptr<tcp_link> link = std::make_shared<tcp_link>(this->loop.context());
    std::string received;
    std::optional<link_end> end;
};

/// A channel with an upload in progress, to a server that is not on its event loop.
struct upload_fixture {
    upload_fixture()
    {
        this->channel->connect(this->server.endpoint(), 5_s);
        this->server.accept();
        REQUIRE(this->loop.run_until([this] { return this->channel->is_connected(); }));
        this->channel->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(upload_bytes) +
                                "\r\n\r\n" + std::string(upload_bytes, 'u'),
                            this->response);
    }

    exchange_end wait_for_end()
    {
        REQUIRE(this->loop.run_until([this] { return this->response.end.has_value(); }));
        return *this->response.end;
    }

    event_loop loop;
    manual_server server;
    std::shared_ptr<http_channel> channel = std::make_shared<http_channel>(this->loop.context());
    response_recorder response;
};

} // namespace

TEST_CASE("tcp link: a reset that a write has detected is reported as a reset, after the received bytes")
{
    link_fixture one;
    one.server.send("part");
    one.server.reset();
    one.link->write("request");
    SECTION("by the first write") {}
    SECTION("and another write has failed since")
    {
        one.link->write("more");
    }
    CHECK(one.wait_for_end() == link_end::reset);
    CHECK(one.received == "part");
}

TEST_CASE("tcp link: a reset that a look at the peer's end has detected is reported as a reset")
{
    link_fixture one;
    one.server.reset();
    CHECK(one.link->has_peer_closed());
    CHECK(one.link->has_peer_closed());
    CHECK(one.wait_for_end() == link_end::reset);
}

TEST_CASE("tcp link: an orderly end is reported as such, also if a write fails behind it")
{
    link_fixture one;
    one.server.send("whole");
    one.server.finish();
    SECTION("without a reset") {}
    SECTION("with a reset after it")
    {
        one.server.reset();
        one.link->write("more");
        one.link->write("more");
    }
    CHECK(one.wait_for_end() == link_end::finished);
    CHECK(one.received == "whole");
}

TEST_CASE("http channel: a response without framing is lost when the connection is reset during the upload")
{
    upload_fixture one;
    one.server.send(unframed_part);
    SECTION("and its part is read after the reset") {}
    SECTION("and its part is read before the reset")
    {
        REQUIRE(one.loop.run_until([&] { return one.response.body == "part"; }));
    }
    one.server.reset();
    CHECK(one.wait_for_end() == exchange_end::lost);
    CHECK(one.response.body == "part");
}

TEST_CASE("http channel: an early response without framing is complete after the server's orderly end")
{
    upload_fixture one;
    one.server.send(unframed_part);
    SECTION("at once")
    {
        one.server.finish();
    }
    SECTION("while the server reads on")
    {
        one.loop.run_ready();
        one.server.read_available();
        one.loop.run_ready();
        one.server.read_available();
        one.server.finish();
    }
    CHECK(one.wait_for_end() == exchange_end::complete);
    CHECK(one.response.body == "part");
}

TEST_CASE("http call runner: a response without framing fails the call when the connection is reset during "
          "the upload")
{
    event_loop loop;
    manual_server server;
    http_call_runner runner{loop.context()};
    loop_call call;
    call.method = "PUT";
    call.address = server.address();
    call.body = std::string(upload_bytes, 'u');
    call.timeout = 60_s;
    std::optional<http_result> result;
    runner.start(call, [&](http_result end) { result = std::move(end); });
    server.accept();
    loop.run_ready();
    server.send(unframed_part);
    server.reset();
    REQUIRE(loop.run_until([&] { return result.has_value(); }));
    CHECK(result->outcome == http_outcome::lost);
}

} // namespace coriander
