#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// As long as a request may be. More than a target's socket takes before it is read.
constexpr std::size_t upload_bytes = 4U << 20U;

const std::string unframed_head = signed_head({});

/// Sends `part` without having read the upload, and resets the connection.
relay_fixture::script respond_and_reset(const std::string& part)
{
    return [part](tcp_link& link, const std::string& /*request*/) {
        link.pause_reading();
        link.write(part);
        link.reset();
    };
}

/// Sends a long request and waits for the end of its response.
exchange_end upload(relay_fixture& relay)
{
    relay.caller->send("POST /a HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 60000\r\nContent-Length: " +
                       std::to_string(upload_bytes) + "\r\n\r\n" + std::string(upload_bytes, 'u'));
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    return *relay.caller->end;
}

} // namespace

TEST_CASE("relay session: a response without framing that is reset during the upload is abandoned, and "
          "another target responds")
{
    relay_fixture relay{repetition::idempotent, respond_and_reset(unframed_head + "part"),
                        respond_with(ok_response)};
    CHECK(upload(relay) == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
}

TEST_CASE("relay session: a response without framing to a non-idempotent request that is reset during the "
          "upload is reported as unknown")
{
    relay_fixture relay{repetition::non_idempotent, respond_and_reset(unframed_head + "part"),
                        respond_with(ok_response)};
    CHECK(upload(relay) == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->head.header("Coriander-Not-Run").empty());
    CHECK(relay.caller->body.empty());
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a stream without framing that is reset during the upload goes on on another target")
{
    relay_fixture relay{repetition::resumable, respond_and_reset(unframed_head + "id: 1\ndata: t\n\n"),
                        respond_with(stream_head + chunk_of_event(2) + last_chunk)};
    CHECK(upload(relay) == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
}

TEST_CASE("relay session: an early response without framing is complete after the target's orderly end")
{
    relay_fixture relay{repetition::non_idempotent, respond_and_close(unframed_head + "whole"),
                        respond_with(ok_response)};
    CHECK(upload(relay) == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "whole");
}

} // namespace coriander
