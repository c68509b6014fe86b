#include "support/raw_caller.hpp"
#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

const std::string first_event = "id: 1\ndata: t\n\n";

/// A caller that speaks HTTP/1.0: to it, a body without a length is complete when the connection ends.
struct http_1_0_caller {
    http_1_0_caller(relay_fixture& relay, const std::string& more_headers, int receive_buffer = 0)
        : relay{relay}, caller{relay.listener->port(), receive_buffer}
    {
        this->caller.send("POST /a HTTP/1.0\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                          "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 60000\r\n" +
                          more_headers + "Content-Length: 2\r\n\r\nhi");
    }

    void wait_for_end()
    {
        REQUIRE(this->relay.loop.run_until([this] { return this->caller.is_closed(); }));
    }
    /// Whether the body that has arrived is whole as far as the caller can see.
    [[nodiscard]] bool looks_complete() const { return this->caller.has_ended && !this->caller.is_reset; }
    [[nodiscard]] std::string head() const
    {
        return this->caller.received.substr(0, this->caller.received.find("\r\n\r\n"));
    }
    [[nodiscard]] std::string body() const
    {
        const auto begin = this->caller.received.find("\r\n\r\n");
        return begin == std::string::npos ? std::string{} : this->caller.received.substr(begin + 4);
    }

    relay_fixture& relay;
    raw_caller caller;
};

} // namespace

TEST_CASE("HTTP/1.0 caller: a whole stream arrives without chunks and ends with the connection")
{
    const auto* const more_headers = GENERATE("", "Connection: keep-alive\r\n");
    relay_fixture relay{repetition::resumable, respond_with(stream_head + chunk_of_event(1) + last_chunk),
                        respond_with(ok_response)};
    http_1_0_caller one{relay, more_headers};
    one.wait_for_end();
    CHECK(one.looks_complete());
    CHECK(contains(one.head(), "Connection: close"));
    CHECK_FALSE(contains(one.head(), "Transfer-Encoding"));
    CHECK(one.body() == first_event);
}

TEST_CASE("HTTP/1.0 caller: a stream that breaks off does not look complete")
{
    const auto* const more_headers = GENERATE("", "Connection: keep-alive\r\n");
    const auto cut = respond_and_close(stream_head + chunk_of_event(1));
    relay_fixture relay{repetition::resumable, cut, cut};
    http_1_0_caller one{relay, more_headers};
    one.wait_for_end();
    CHECK_FALSE(one.looks_complete());
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("HTTP/1.0 caller: a stream of which the gateway has not sent everything does not look complete")
{
    relay_fixture relay{repetition::resumable, respond_with(stream_head + chunk_of_event(1)),
                        respond_with(ok_response)};
    http_1_0_caller one{relay, {}};
    REQUIRE(relay.loop.run_until([&] { return one.caller.has_received(first_event); }));
    relay.session_on_first()->end_before_exit();
    one.wait_for_end();
    CHECK_FALSE(one.looks_complete());
}

TEST_CASE("HTTP/1.0 caller: a long stream that is read slowly arrives to its end")
{
    constexpr int small_buffer = 4096;
    constexpr int events = 100000;
    std::string stream;
    for (int i = 1; i <= events; ++i) {
        stream += "id: " + std::to_string(i) + "\ndata: t\n\n";
    }
    relay_fixture relay{
        repetition::resumable,
        respond_with(signed_head("Content-Length: " + std::to_string(stream.size()) + "\r\n") + stream),
        respond_with(ok_response)};
    http_1_0_caller one{relay, {}, small_buffer};
    one.wait_for_end();
    CHECK(one.looks_complete());
    CHECK(one.body() == stream);
}

TEST_CASE("HTTP/1.0 caller: a whole response has a length")
{
    relay_fixture relay{repetition::idempotent, respond_with(stream_head + "5\r\nwhole\r\n" + last_chunk),
                        respond_with(ok_response)};
    http_1_0_caller one{relay, {}};
    one.wait_for_end();
    CHECK(contains(one.head(), "Content-Length: 5"));
    CHECK_FALSE(contains(one.head(), "Transfer-Encoding"));
    CHECK(one.body() == "whole");
}

} // namespace coriander
