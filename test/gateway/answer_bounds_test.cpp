#include "support/relay_fixture.hpp"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Writes `head`, and then `more` again and again until the other side closes.
relay_fixture::script answer_without_end(const std::string& head, const std::string& more)
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

TEST_CASE("relay session: a head without end is given up, and another target answers")
{
    const std::string kilobyte(1024, 'x');
    const auto more = GENERATE_COPY("X-More: " + kilobyte + "\r\n", std::string{"HTTP/1.1 102 Wait\r\n\r\n"});
    const std::string head = more[0] == 'X' ? "HTTP/1.1 200 OK\r\n" : "";
    CAPTURE(head);
    relay_fixture relay{repetition::idempotent, answer_without_end(head, more), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: a body without end is given up, and another target answers")
{
    const std::string kilobytes(65536, 'x');
    const auto* const headers = GENERATE("", "Transfer-Encoding: chunked\r\n");
    CAPTURE(headers);
    const bool is_chunked = *headers != '\0';
    relay_fixture relay{
        repetition::idempotent,
        answer_without_end(signed_head(headers), is_chunked ? "10000\r\n" + kilobytes + "\r\n" : kilobytes),
        answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: an answer without end to a call that may not be repeated is reported as unknown")
{
    relay_fixture relay{repetition::non_idempotent,
                        answer_without_end(signed_head(""), std::string(65536, 'x')),
                        answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.sent() == 1);
}

TEST_CASE("relay session: bytes of another request's answer are not read to their end")
{
    const std::string foreign =
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: other\r\nCoriander-Signature: s\r\n\r\n";
    relay_fixture relay{repetition::idempotent, answer_without_end(foreign, "x"), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: an event without end is given up, and the stream goes on elsewhere")
{
    const auto begun = signed_head("") + "id: 1\ndata: t\n\nid: 2\ndata: ";
    const auto rest = stream_head + chunk_of_event(2) + last_chunk;
    relay_fixture relay{repetition::resumable, answer_without_end(begun, std::string(65536, 'x')),
                        answer_with(rest)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
}

TEST_CASE("relay session: answers that are held back are bounded over all requests together")
{
    relay_fixture relay{repetition::idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    relay.context.held_bytes = relay_context::max_held_bytes;
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    relay.context.held_bytes = 0;
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.context.held_bytes == 0);
}

} // namespace coriander
