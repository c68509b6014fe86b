#include "net/message_parser.hpp"

#include "support/invalid_field_lines.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

class recorded_message : public message_events {
public:
    void on_message_head(message_head head) override { this->head = std::move(head); }
    void on_message_body(std::string_view bytes) override { this->body += bytes; }

    message_head head;
    std::string body;
};

struct response_fixture {
    recorded_message message;
    message_parser parser{message_parser::side::responses, this->message};
};

} // namespace

TEST_CASE("message parser: bytes after the end of a message are not consumed")
{
    response_fixture one;
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n";
    CHECK(one.parser.feed(text) == text.find("HTTP", 5));
    CHECK(one.parser.is_complete());
    CHECK(one.message.body == "abc");
}

TEST_CASE("message parser: chunks are concatenated, and the last chunk completes the message")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CHECK_FALSE(one.parser.is_complete());
    one.parser.feed("2\r\nde\r\n0\r\n\r\n");
    CHECK(one.parser.is_complete());
    CHECK(one.message.body == "abcde");
}

TEST_CASE("message parser: without framing only an orderly end completes the body")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_FALSE(one.message.head.has_framing);
    CHECK_FALSE(one.parser.is_complete());
    one.parser.feed_end();
    CHECK(one.parser.is_complete());
}

TEST_CASE("message parser: an end before the announced length is not complete")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    one.parser.feed_end();
    CHECK_FALSE(one.parser.is_complete());
    CHECK(one.parser.is_broken());
}

TEST_CASE("message parser: bytes that are not a response are rejected")
{
    const auto* const text = GENERATE("hello\r\n\r\n", "SSH-2.0-x\r\n", "\x01\x02\x03\x04");
    response_fixture one;
    one.parser.feed(text);
    CHECK(one.parser.is_broken());
}

TEST_CASE("message parser: a response with an invalid status is rejected before its body")
{
    const auto* const status = GENERATE("000", "0", "20", "099", "600", "999", "1000");
    CAPTURE(status);
    response_fixture one;
    one.parser.feed("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(one.parser.is_broken());
    CHECK_FALSE(one.parser.has_head());
    CHECK(one.message.body.empty());
}

TEST_CASE("message parser: the first and the last valid status of a final response are accepted")
{
    const auto* const status = GENERATE("200", "599");
    CAPTURE(status);
    response_fixture one;
    one.parser.feed("HTTP/1.1 " + std::string{status} + " OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(one.parser.is_complete());
    CHECK(one.message.head.status == std::stoi(status));
    CHECK(one.message.body == "ok");
}

TEST_CASE("message parser: a response is rejected whose head has a blank or a control byte in a field's name")
{
    const auto* const lines_before = GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nServer: s\r\n",
                                              "HTTP/1.1 200 OK\r\nServer:\r\n", "HTTP/1.1 100 Continue\r\n");
    const bool in_pieces = GENERATE(false, true);
    for (const auto& line : invalid_field_lines()) {
        const auto text = lines_before + line + "\r\nok";
        CAPTURE(text, in_pieces);
        response_fixture one;
        for (std::size_t at = 0; at < text.size(); at += in_pieces ? 1 : text.size()) {
            one.parser.feed(std::string_view{text}.substr(at, in_pieces ? 1 : text.size()));
        }
        CHECK(one.parser.is_broken());
        CHECK_FALSE(one.parser.has_head());
        CHECK(one.message.body.empty());
    }
}

TEST_CASE("message parser: a response is rejected whose head ends its lines in different ways")
{
    const auto* const text = GENERATE(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rXok");
    response_fixture one;
    one.parser.feed(text);
    CHECK(one.parser.is_broken());
    CHECK_FALSE(one.parser.has_head());
}

TEST_CASE("message parser: a response is accepted whose head ends all lines with a line feed alone")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
    CHECK(one.parser.is_complete());
    CHECK(one.message.body == "ok");
}

TEST_CASE("message parser: a response is accepted behind an empty line")
{
    response_fixture one;
    one.parser.feed("\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(one.parser.is_complete());
    CHECK(one.message.body == "ok");
}

TEST_CASE("message parser: all characters that a field's name may have are accepted")
{
    const std::string name = "!#$%&'*+-.^_`|~09azAZ";
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\r\n" + name + ":v\r\nContent-Length: 2\r\n\r\nok");
    CHECK(one.parser.is_complete());
    CHECK(one.message.head.header(name) == "v");
}

TEST_CASE("message parser: lines of a response's body may begin with blanks")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n a: b\r\n\t");
    CHECK(one.parser.is_complete());
    CHECK(one.message.body == " a: b\r\n\t");
}

TEST_CASE("message parser: interim responses are skipped")
{
    response_fixture one;
    one.parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nX: y\r\nContent-Length: 0\r\n\r\n");
    CHECK(one.parser.is_complete());
    CHECK(one.message.head.status == 201);
    CHECK(one.message.head.header("x") == "y");
}

TEST_CASE("message parser: a response to HEAD has no body despite its Content-Length")
{
    response_fixture one;
    one.parser.begin(true);
    one.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    CHECK(one.parser.is_complete());
}

TEST_CASE("message parser: a message is parsed correctly from single bytes")
{
    const std::string text = "POST /a/b?x=1 HTTP/1.1\r\nHost: desk.example\r\nX-Long: one two\r\n"
                             "Content-Length: 2\r\n\r\nok";
    recorded_message message;
    message_parser parser{message_parser::side::requests, message};
    for (const char byte : text) {
        parser.feed({&byte, 1});
    }
    CHECK(parser.is_complete());
    CHECK(message.head.method == "POST");
    CHECK(message.head.target == "/a/b?x=1");
    CHECK(message.head.header("x-long") == "one two");
    CHECK(message.body == "ok");
}

TEST_CASE("message parser: the head's size excludes the body")
{
    recorded_message message;
    message_parser parser{message_parser::side::requests, message};
    parser.feed("POST / HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + std::string(30000, 'x'));
    CHECK(parser.is_complete());
    CHECK(parser.head_bytes() < 100);
}

} // namespace coriander
