#include "net/channel_pool.hpp"
#include "net/http_channel.hpp"

#include "support/event_loop.hpp"
#include "support/response_recorder.hpp"
#include "support/scripted_server.hpp"
#include "support/silent_server.hpp"

#include <catch2/catch.hpp>

#include <chrono>

namespace coriander {
namespace {

const std::string plain_request = "GET / HTTP/1.1\r\n\r\n";
const std::string short_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends one request to a server that sends `reply` and then, if `closes` is set, closes the connection.
struct exchange_fixture {
    explicit exchange_fixture(const std::string& reply, bool closes = false)
        : server{this->loop.context(), [reply, closes](tcp_link& link, const std::string& /*request*/) {
                     link.write(reply);
                     if (closes) {
                         link.close_when_sent();
                     }
                 }}
    {
    }

    exchange_end run()
    {
        this->channel = this->pool.acquire(this->server.address(), false);
        this->channel->send(plain_request, this->response);
        REQUIRE(this->loop.run_until([this] { return this->response.end.has_value(); }));
        return *this->response.end;
    }

    event_loop loop;
    scripted_server server;
    channel_pool pool{this->loop.context()};
    std::shared_ptr<http_channel> channel;
    response_recorder response;
};

} // namespace

TEST_CASE("http channel: the connection can be reused after a complete response")
{
    exchange_fixture one{short_response};
    CHECK(one.run() == exchange_end::complete);
    CHECK(one.response.body == "ok");
    CHECK(one.channel->is_reusable());
    one.pool.release(one.server.address(), one.channel);
    CHECK(one.pool.acquire(one.server.address(), false) == one.channel);
}

TEST_CASE("http channel: a fresh connection is opened even if an idle one is available")
{
    exchange_fixture one{short_response};
    (void)one.run();
    one.pool.release(one.server.address(), one.channel);
    const auto fresh = one.pool.acquire(one.server.address(), true);
    CHECK(fresh != one.channel);
    fresh->close();
}

TEST_CASE("http channel: bytes after a complete response prevent reuse of the connection")
{
    exchange_fixture one{short_response + short_response};
    CHECK(one.run() == exchange_end::complete);
    CHECK(one.response.body == "ok");
    CHECK_FALSE(one.channel->is_reusable());
}

TEST_CASE("http channel: a connection is not reused after Connection: close")
{
    exchange_fixture one{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"};
    CHECK(one.run() == exchange_end::complete);
    CHECK_FALSE(one.channel->is_reusable());
}

TEST_CASE("http channel: a truncated response is lost, and one without framing ends with the connection")
{
    struct row {
        const char* reply;
        exchange_end expected;
    };
    const auto one =
        GENERATE(row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", exchange_end::lost},
                 row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", exchange_end::lost},
                 row{"HTTP/1.1 200 OK\r\n\r\nok", exchange_end::complete}, row{"", exchange_end::lost});
    CAPTURE(one.reply);
    exchange_fixture fixture{one.reply, true};
    CHECK(fixture.run() == one.expected);
    CHECK_FALSE(fixture.channel->is_reusable());
}

TEST_CASE("http channel: a response that stops in the middle of its head is not complete")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nCoriander-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    const auto cut_after = GENERATE_COPY(range(std::size_t{1}, whole.size()));
    CAPTURE(cut_after);
    exchange_fixture fixture{whole.substr(0, cut_after), true};
    CHECK(fixture.run() != exchange_end::complete);
    CHECK_FALSE(fixture.channel->is_reusable());
}

TEST_CASE("http channel: a request that was given up does not reach the server later")
{
    event_loop loop;
    silent_server server{loop.context()};
    channel_pool pool{loop.context()};
    const auto channel = pool.acquire(server.address(), true);
    REQUIRE(loop.run_until([&] { return server.accepted() == 1 && channel->is_connected(); }));
    REQUIRE(server.silence_all());
    response_recorder response;
    channel->send(plain_request, response);
    loop.run_ready();
    channel->close();
    server.restore_all();
    // Long enough for several retransmissions.
    loop.context().restart();
    loop.context().run_for(std::chrono::milliseconds{1500});
    CHECK(server.received() == 0);
}

TEST_CASE("http channel: bytes that are not an HTTP response are reported as malformed")
{
    exchange_fixture one{"nonsense\r\n\r\n"};
    CHECK(one.run() == exchange_end::malformed);
}

TEST_CASE("http channel: a refused connection is reported as not sent")
{
    event_loop loop;
    std::string address;
    {
        const scripted_server closed_server{loop.context(), [](tcp_link&, const std::string&) {}};
        address = closed_server.address();
    }
    channel_pool pool{loop.context()};
    response_recorder response;
    const auto channel = pool.acquire(address, false);
    channel->send(plain_request, response);
    REQUIRE(loop.run_until([&] { return response.end.has_value(); }));
    CHECK(*response.end == exchange_end::not_sent);
}

TEST_CASE("http channel: the timeout of the Keep-Alive header is parsed")
{
    exchange_fixture one{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3, max=9\r\nContent-Length: 0\r\n\r\n"};
    CHECK(one.run() == exchange_end::complete);
    CHECK(one.channel->keep_alive() == 3_s);
}

TEST_CASE("parse_endpoint: invalid addresses give port 0")
{
    CHECK(parse_endpoint("127.0.0.1:80").port() == 80);
    CHECK(parse_endpoint("127.0.0.1").port() == 0);
    CHECK(parse_endpoint("127.0.0.1:99999").port() == 0);
    CHECK(parse_endpoint("desk:80").port() == 0);
    CHECK(parse_endpoint("").port() == 0);
}

} // namespace coriander
