#include "support/relay_fixture.hpp"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Sends `head` and then repeats `more` until the peer closes the connection.
relay_fixture::script respond_endlessly(const std::string& head, const std::string& more)
{
    return [head, more](tcp_link& link, const std::string& /*request*/) {
        link.write(head);
        link.on_drained([&link, more] {
            asio::post(link.executor(), [keep = link.shared_from_this(), more] {
                if (keep->is_open()) {
                    keep->write(more);
                }
            });
        });
        link.write(more);
    };
}

} // namespace

TEST_CASE("relay session: an endless response head is abandoned, and another target responds")
{
    const std::string kilobyte(1024, 'x');
    const auto more = GENERATE_COPY("X-More: " + kilobyte + "\r\n", std::string{"HTTP/1.1 102 Wait\r\n\r\n"});
    const std::string head = more[0] == 'X' ? "HTTP/1.1 200 OK\r\n" : "";
    CAPTURE(head);
    relay_fixture relay{repetition::idempotent, respond_endlessly(head, more), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: an endless response body is abandoned, and another target responds")
{
    const std::string kilobytes(65536, 'x');
    const auto* const headers = GENERATE("", "Transfer-Encoding: chunked\r\n");
    CAPTURE(headers);
    const bool is_chunked = *headers != '\0';
    relay_fixture relay{
        repetition::idempotent,
        respond_endlessly(signed_head(headers), is_chunked ? "10000\r\n" + kilobytes + "\r\n" : kilobytes),
        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: an endless response to a non-idempotent request is reported as unknown")
{
    relay_fixture relay{repetition::non_idempotent,
                        respond_endlessly(signed_head(""), std::string(65536, 'x')),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a response to another request is not read to its end")
{
    const std::string foreign =
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: other\r\nCoriander-Signature: s\r\n\r\n";
    relay_fixture relay{repetition::idempotent, respond_endlessly(foreign, "x"), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: an endless event is abandoned, and the stream resumes on another target")
{
    const auto begun = signed_head("") + "id: 1\ndata: t\n\nid: 2\ndata: ";
    const auto rest = stream_head + chunk_of_event(2) + last_chunk;
    relay_fixture relay{repetition::resumable, respond_endlessly(begun, std::string(65536, 'x')),
                        respond_with(rest)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
}

TEST_CASE("relay session: buffered responses are limited over all requests together")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.context.buffered_bytes = relay.context.max_buffered_bytes;
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    relay.context.buffered_bytes = 0;
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.context.buffered_bytes == 0);
}

TEST_CASE("relay session: incomplete events of all requests together are limited, so that none takes the "
          "memory of the others")
{
    const auto begun = signed_head("") + "id: 1\ndata: t\n\nid: 2\ndata: ";
    relay_fixture relay{repetition::resumable, respond_with(begun + std::string(65536, 'x')),
                        respond_with(stream_head + chunk_of_event(2) + last_chunk)};
    relay.context.buffered_bytes = relay.context.max_buffered_bytes - 1024;
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    CHECK(relay.context.buffered_bytes == relay.context.max_buffered_bytes - 1024);
}

TEST_CASE("relay session: an incomplete event is counted until its stream ends")
{
    const auto begun = signed_head("") + "id: 1\ndata: t\n\nid: 2\ndata: ";
    relay_fixture relay{repetition::resumable, respond_with(begun), respond_with(ok_response)};
    (void)relay.begin_stream();
    CHECK(relay.context.buffered_bytes == std::string{"id: 2\ndata: "}.size());
    relay.caller.reset();
    REQUIRE(relay.loop.run_until([&] { return relay.context.sessions.empty(); }));
    CHECK(relay.context.buffered_bytes == 0);
}

TEST_CASE("relay session: comments of a target that sends no events are no progress")
{
    const auto begun = stream_head + chunk_of_event(1);
    relay_fixture relay{repetition::resumable,
                        [&](tcp_link& link, const std::string& /*request*/) { link.write(begun); },
                        respond_with(ok_response)};
    const auto session = relay.begin_stream();
    auto& board = relay.context.service("desk").board;
    board.reset_silence(relay.context.clock.now() - 5_s);
    session->on_response_body(": still here\n\n");
    CHECK(board.silence("first", relay.context.clock.now()) >= 5_s);
    session->on_response_body("id: 2\ndata: t\n\n");
    CHECK(board.silence("first", relay.context.clock.now()) < 5_s);
}

} // namespace coriander
