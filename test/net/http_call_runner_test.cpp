#include "net/http_call_runner.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <optional>

namespace coriander {
namespace {

/// Runs one call to a server that answers so.
http_result call_with_answer(const std::string& answer)
{
    event_loop loop;
    scripted_server server{loop.context(),
                           [&](tcp_link& link, const std::string& /*request*/) { link.write(answer); }};
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

TEST_CASE("http call runner: a whole answer is told")
{
    const auto result = call_with_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(result.outcome == http_outcome::answered);
    CHECK(result.body == "ok");
}

TEST_CASE("http call runner: an answer longer than its bound is given up before it ends")
{
    const auto result = call_with_answer("HTTP/1.1 200 OK\r\n\r\n" + std::string(2000, 'x'));
    CHECK(result.outcome == http_outcome::lost);
    CHECK(result.message == "the answer is too large");
}

} // namespace coriander
