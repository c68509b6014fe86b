#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

const std::string event_stream_head =
    signed_head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
const std::string first_event = "id: 1\ndata: t\n\n";

std::string error_response(const std::string& start_line)
{
    return "HTTP/1.1 " + start_line +
           "\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\nContent-Length: 5\r\n\r\nerror";
}

/// Runs one request whose stream breaks off after its first event and then gets `second` from another target.
struct interrupted_stream {
    explicit interrupted_stream(const std::string& second)
        : relay{repetition::resumable, respond_and_close(event_stream_head + chunk_of_event(1)),
                respond_with(second)}
    {
        this->end = this->relay.exchange();
    }

    relay_fixture relay;
    exchange_end end{};
};

} // namespace

TEST_CASE("relay session: an error in answer to a resumed stream never reaches the caller's stream")
{
    const auto* const start_line =
        GENERATE("302 Found", "400 Bad Request", "404 Not Found", "409 Conflict", "413 Too Large",
                 "416 Range", "429 Too Many", "500 Oops", "502 Bad", "503 Busy", "504 Late");
    CAPTURE(start_line);
    const interrupted_stream one{error_response(start_line)};
    CHECK(one.end == exchange_end::lost);
    CHECK(one.relay.caller->head.status == 200);
    CHECK(one.relay.caller->body == first_event);
    CHECK(one.relay.requests_sent() == 2);
}

TEST_CASE("relay session: an invalid status in answer to a resumed stream never reaches the caller's stream")
{
    const auto* const status = GENERATE("000", "0", "099", "600");
    CAPTURE(status);
    const auto head = "HTTP/1.1 " + std::string{status} +
                      " OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const interrupted_stream one{head + chunk_of_event(2) + last_chunk};
    CHECK(one.end == exchange_end::lost);
    CHECK(one.relay.caller->head.status == 200);
    CHECK(one.relay.caller->body == first_event);
}

TEST_CASE("relay session: a success that doesn't continue the begun stream never ends it as complete")
{
    const auto answer = GENERATE_COPY(
        as<std::string>{}, signed_head("Content-Type: text/html\r\nContent-Length: 2\r\n") + "ok",
        signed_head("Content-Length: 2\r\n") + "ok", signed_head("Content-Length: 0\r\n"),
        "HTTP/1.1 204 None\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n\r\n",
        "HTTP/1.1 206 Part\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk_of_event(2) + last_chunk,
        signed_head("Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n"),
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nContent-Type: text/event-stream\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nCoriander-Signature: s\r\nContent-Type: text/event-stream\r\n"
        "Content-Length: 0\r\n\r\n");
    CAPTURE(answer);
    const interrupted_stream one{answer};
    CHECK(one.end == exchange_end::lost);
    CHECK(one.relay.caller->body == first_event);
}

TEST_CASE("relay session: a resumed stream may differ in the parameters of its content type")
{
    const interrupted_stream one{
        signed_head("Content-Type: Text/Event-Stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n") +
        chunk_of_event(2) + last_chunk};
    CHECK(one.end == exchange_end::complete);
    CHECK(one.relay.caller->body == first_event + "id: 2\ndata: t\n\n");
}

TEST_CASE("relay session: an error is forwarded while no event of the stream has been sent")
{
    const auto before = GENERATE_COPY(as<std::string>{}, "", event_stream_head + "8\r\nid: 1\nda\r\n");
    CAPTURE(before);
    relay_fixture relay{repetition::resumable, respond_and_close(before),
                        respond_with(error_response("409 Conflict"))};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 409);
    CHECK(relay.caller->body == "error");
}

TEST_CASE("classify_response: with a begun stream, only a response of its form can go on")
{
    rc::prop("any status and headers", [] {
        message_head head;
        head.status = *rc::gen::element(200, 201, 204, 206, 301, 304, 400, 404, 421, 429, 500, 503);
        const auto type = *rc::gen::element<std::string>("", "text/event-stream", "text/html",
                                                         "TEXT/event-stream ;charset=utf-8");
        const auto id = *rc::gen::element<std::string>("", "a1", "a2");
        head.headers = {{"Content-Type", type}, {"Coriander-Attempt", id}};
        if (*rc::gen::arbitrary<bool>()) {
            head.headers.push_back({"Coriander-Signature", "s"});
        }
        const stream_form form{200, "text/event-stream"};
        const auto end = classify_response(head, relay_dialect{}, {"a1", form, repetition::resumable, true});
        const bool is_signed = !head.header("Coriander-Signature").empty();
        RC_ASSERT(end.has_value() != (is_signed && id == "a1" && form_of(head) == form));
    });
}

} // namespace coriander
