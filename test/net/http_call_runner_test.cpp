#include "net/http_call_runner.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <optional>

namespace coriander {
namespace {

/// Runs one call to a server that sends `response`.
http_result call_with_response(const std::string& response)
{
    event_loop loop;
    scripted_server server{loop.context(),
                           [&](tcp_link& link, const std::string& /*request*/) { link.write(response); }};
    http_call_runner runner{loop.context()};
    loop_call call;
    call.address = server.address();
    call.timeout = 60_s;
    call.max_body_bytes = 1000;
    std::optional<http_result> result;
    runner.start(call, [&](http_result end) { result = std::move(end); });
    REQUIRE(loop.run_until([&] { return result.has_value(); }));
    return *result;
}

} // namespace

TEST_CASE("http call runner: a complete response is reported")
{
    const auto result = call_with_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(result.outcome == http_outcome::answered);
    CHECK(result.body == "ok");
}

TEST_CASE("http call runner: a response with an invalid status fails the call")
{
    const auto* const status = GENERATE("000", "600");
    CAPTURE(status);
    const auto result =
        call_with_response("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(result.outcome == http_outcome::lost);
    CHECK(result.body.empty());
}

TEST_CASE("http call runner: a response with a blank in a field's name fails the call")
{
    const auto result = call_with_response("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(result.outcome == http_outcome::lost);
    CHECK(result.headers.empty());
}

TEST_CASE("http call runner: a response body over the limit fails the call before the response ends")
{
    const auto result = call_with_response("HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'));
    CHECK(result.outcome == http_outcome::lost);
    CHECK(result.message == "response body too large");
}

} // namespace coriander
