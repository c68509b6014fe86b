#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

std::string response_with_status(const std::string& status)
{
    return "HTTP/1.1 " + status + " OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n" +
           "Content-Length: 3\r\n\r\nbad";
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

TEST_CASE("relay session: a stream is resumed on another target after a response with an invalid status")
{
    relay_fixture relay{repetition::resumable, respond_with(response_with_status("000")),
                        respond_with(stream_head + chunk_of_event(1) + last_chunk)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
}

} // namespace coriander
