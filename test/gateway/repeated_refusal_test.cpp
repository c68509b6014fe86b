#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace coriander {
namespace {

const std::string stream_response = stream_head + chunk_of_event(1) + last_chunk;

/// Answers each connection's first request; later ones get `late` while they run.
relay_fixture::script respond_late_with(const std::string& late)
{
    return [late, known = std::make_shared<std::vector<tcp_link*>>()](tcp_link& link,
                                                                      const std::string& /*request*/) {
        const bool is_known = std::find(known->begin(), known->end(), &link) != known->end();
        known->push_back(&link);
        link.write(is_known ? late : stream_response);
    };
}

std::string answer_without_id(const std::string& start_line)
{
    return "HTTP/1.1 " + start_line + "\r\nCoriander-Signature: s\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("relay session: an earlier refusal, repeated on a kept connection, is not taken for this request's")
{
    const auto kind = GENERATE(repetition::idempotent, repetition::resumable);
    const auto late = GENERATE(as<std::string>{}, not_run_response, answer_without_id("421 Elsewhere"));
    CAPTURE(static_cast<int>(kind), late);
    relay_fixture relay{kind, respond_late_with(late), respond_with(stream_response)};
    SECTION("the caller is not promised that the request has not run")
    {
        relay.set_targets({relay.target("first", relay.first)});
        REQUIRE(relay.exchange() == exchange_end::complete);
        REQUIRE(relay.caller->head.status == 200);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->head.status == 502);
    }
    SECTION("another target answers")
    {
        REQUIRE(relay.exchange() == exchange_end::complete);
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->head.status == 200);
        CHECK(relay.second.requests().size() == 1);
    }
    CHECK(relay.first.accepted() == 1);
}

TEST_CASE("relay session: an answer without an id on a kept connection doesn't reach the caller")
{
    const auto* const start_line = GENERATE("404 Not Found", "500 Oops");
    CAPTURE(start_line);
    relay_fixture relay{repetition::idempotent, respond_late_with(answer_without_id(start_line)),
                        respond_with(stream_response)};
    relay.set_targets({relay.target("first", relay.first)});
    REQUIRE(relay.exchange() == exchange_end::complete);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->head.header("Coriander-Signature").empty());
}

TEST_CASE("relay session: a refusal with this request's id is believed on a kept connection")
{
    const auto late = "HTTP/1.1 503 Busy\r\nCoriander-Not-Run: 1\r\nCoriander-Attempt: a1\r\n"
                      "Content-Length: 0\r\n\r\n";
    relay_fixture relay{repetition::idempotent, respond_late_with(late), respond_with(stream_response)};
    relay.set_targets({relay.target("first", relay.first)});
    REQUIRE(relay.exchange() == exchange_end::complete);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
}

TEST_CASE("relay session: requests that must not run twice, and their retries, use new connections only")
{
    relay_fixture relay{repetition::non_idempotent, respond_late_with(not_run_response),
                        respond_with(stream_response)};
    for (std::size_t sent = 1; sent <= 3; ++sent) {
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->head.status == 200);
        CHECK(relay.first.accepted() == sent);
    }
    CHECK(relay.second.requests().empty());
}

TEST_CASE("relay session: the retry of a request that must not run twice uses a new connection")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(not_run_response),
                        respond_late_with(not_run_response)};
    relay.set_targets({relay.target("second", relay.second)});
    REQUIRE(relay.exchange() == exchange_end::complete); // Leaves an open connection to the second target.
    relay.set_targets({relay.target("first", relay.first), relay.target("second", relay.second)});
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.first.accepted() == 1);
    CHECK(relay.second.accepted() == 2);
}

TEST_CASE("answers_attempt: what is believed, by connection, echoed id and kind of request")
{
    const auto believes = [](std::string_view echoed, repetition kind, bool is_first) {
        return answers_attempt(echoed, {"a1", std::nullopt, kind, is_first});
    };
    for (const auto kind : {repetition::idempotent, repetition::resumable, repetition::non_idempotent}) {
        CAPTURE(static_cast<int>(kind));
        CHECK(believes("a1", kind, true));
        CHECK(believes("", kind, true));
        CHECK_FALSE(believes("a2", kind, true));
        CHECK_FALSE(believes("", kind, false));
        CHECK_FALSE(believes("a2", kind, false));
        CHECK(believes("a1", kind, false) == (kind != repetition::non_idempotent));
    }
}

} // namespace coriander
