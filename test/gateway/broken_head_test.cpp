#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

std::string response_with_status(const std::string& status)
{
    return "HTTP/1.1 " + status + " OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n" +
           "Content-Length: 3\r\n\r\nbad";
}

/// A signed response to the request with one more line in its head.
std::string response_with_line(const std::string& line)
{
    return signed_head(line + "Content-Length: 3\r\n") + "bad";
}

} // namespace

TEST_CASE("relay session: a response with an invalid status is abandoned, and another target responds")
{
    const auto* const status = GENERATE("000", "0", "20", "099", "600", "999");
    CAPTURE(status);
    relay_fixture relay{repetition::idempotent, respond_with(response_with_status(status)),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: a response with an invalid status to a non-idempotent request is reported as "
          "unknown")
{
    const auto* const status = GENERATE("000", "600");
    CAPTURE(status);
    relay_fixture relay{repetition::non_idempotent, respond_with(response_with_status(status)),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->head.header("Coriander-Not-Run").empty());
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a response with an invalid status does not become part of the next one")
{
    int answered = 0;
    relay_fixture relay{repetition::idempotent,
                        [&](tcp_link& link, const std::string& /*request*/) {
                            link.write(++answered == 1 ? ok_response
                                                       : response_with_status("000") + ok_response);
                        },
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
}

TEST_CASE(
    "relay session: a response to HEAD with an invalid status is abandoned, and another target responds")
{
    const auto* const status = GENERATE("000", "099", "600");
    CAPTURE(status);
    relay_fixture relay{repetition::idempotent, respond_with(response_with_status(status)),
                        respond_with(signed_head("Content-Length: 0\r\n"))};
    relay.caller->send("HEAD /a HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 60000\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay session: a stream is resumed on another target after a response with an invalid status")
{
    relay_fixture relay{repetition::resumable, respond_with(response_with_status("000")),
                        respond_with(stream_head + chunk_of_event(1) + last_chunk)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
}

TEST_CASE("relay session: a response with a blank or a control byte in a field's name is abandoned, and "
          "another target responds")
{
    const auto* const line =
        GENERATE("X Y: 1\r\n", "X-Y : 1\r\n", " X-Y: 1\r\n", "\tX-Y: 1\r\n", "X\tY: 1\r\n", "X\x01Y: 1\r\n",
                 "X\x7fY: 1\r\n", "X\rY: 1\r\n", "X\nY: 1\r\n", "\rX-Y: 1\r\n", "\nX-Y: 1\r\n");
    CAPTURE(line);
    relay_fixture relay{repetition::idempotent, respond_and_close(response_with_line(line)),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
}

TEST_CASE("relay session: a response whose framing has a blank or a control byte in its name is reported as "
          "unknown")
{
    const auto* const end_of_head =
        GENERATE("Content Length: 2\r\n\r\nok", "Content-Length : 2\r\n\r\nok", " ontent-Length: 2\r\n\r\nok",
                 "\rontent-Length: 2\r\n\r\nok", "\nontent-Length: 2\r\n\r\nok",
                 "Transfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    CAPTURE(end_of_head);
    relay_fixture relay{
        repetition::non_idempotent,
        respond_and_close("HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n" +
                          std::string{end_of_head}),
        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->head.header("Coriander-Not-Run").empty());
    CHECK(relay.caller->body.find("ok") == std::string::npos);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a stream with a blank in a field's name is resumed on another target")
{
    const auto begun = signed_head("X Y: 1\r\nTransfer-Encoding: chunked\r\n") + chunk_of_event(1);
    relay_fixture relay{repetition::resumable, respond_with(begun),
                        respond_with(stream_head + chunk_of_event(1) + last_chunk)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.header("X Y").empty());
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
}

} // namespace coriander
