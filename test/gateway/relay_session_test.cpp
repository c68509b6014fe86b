#include "support/relay_fixture.hpp"

#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace coriander {
TEST_CASE("relay session: a request is forwarded unchanged except for hop-by-hop and replaced headers")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(ok_response), respond_with(ok_response)};
    CHECK(relay.exchange("Coriander-Customer: leuven\r\nConnection: X-Hop\r\nX-Hop: 1\r\n") ==
          exchange_end::complete);
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
    CHECK(relay.caller->body == "ok");
    REQUIRE(relay.first.requests().size() == 1);
    const auto& sent = relay.first.requests()[0];
    CHECK(contains(sent, "POST /a?b=c HTTP/1.1\r\n"));
    CHECK(contains(sent, "Host: desk.example\r\n"));
    CHECK(contains(sent, "X-Own: 1\r\n"));
    CHECK(contains(sent, "Coriander-Customer: gent\r\n"));
    CHECK(contains(sent, "Coriander-Host: first\r\n"));
    CHECK(contains(sent, "\r\n\r\nhi"));
    CHECK_FALSE(contains(sent, "leuven"));
    CHECK_FALSE(contains(sent, "Bearer"));
    CHECK_FALSE(contains(sent, "X-Hop"));
}

TEST_CASE(
    "relay session: requests without a route or with an unknown key are rejected without using a target")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.caller->send("GET / HTTP/1.1\r\nHost: other.example\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 404);
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer no\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 401);
    CHECK(relay.requests_sent() == 0);
}

TEST_CASE("relay session: before the first manifest arrives, requests get 503 rather than a client error")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.context.routes = nullptr;
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
}

TEST_CASE("relay session: a non-idempotent request is not retried when its response is lost")
{
    relay_fixture relay{repetition::non_idempotent, respond_and_close(""), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a non-idempotent request is retried when the target states that it has not run")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(not_run_response),
                        respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay session: a request that no target has run is rejected with Retry-After")
{
    relay_fixture relay{repetition::non_idempotent, respond_with(not_run_response),
                        respond_with(not_run_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay session: an idempotent request is retried on another target when the first one fails")
{
    const auto* const broken =
        GENERATE("", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "nonsense\r\n\r\n");
    CAPTURE(broken);
    relay_fixture relay{repetition::idempotent, respond_and_close(broken), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
}

TEST_CASE("relay session: responses that don't belong to the request never reach the caller")
{
    const auto* const foreign = GENERATE(
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: other\r\nCoriander-Signature: s\r\nContent-Length: "
        "2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Signature: s\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\nContent-Encoding: gzip\r\n"
        "Content-Length: 2\r\n\r\nno");
    CAPTURE(foreign);
    relay_fixture relay{repetition::non_idempotent, respond_with(foreign), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->body.empty());
}

TEST_CASE("relay session: a target's error is forwarded when no retry is allowed")
{
    const std::string failure = "HTTP/1.1 500 Oops\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                                "Content-Length: 3\r\n\r\nbad";
    relay_fixture relay{repetition::non_idempotent, respond_with(failure), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 500);
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
    CHECK(relay.caller->body == "bad");
}

TEST_CASE(
    "relay session: an interrupted stream resumes on another target without duplicate, missing or truncated "
    "events")
{
    const auto broken = stream_head + chunk_of_event(1) + chunk_of_event(2) + "8\r\nid: 3\nda\r\n";
    const auto rest = stream_head + chunk_of_event(2) + chunk_of_event(3) + chunk_of_event(4) + last_chunk;
    relay_fixture relay{repetition::resumable, respond_and_close(broken), respond_with(rest)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\nid: 4\ndata: t\n\n");
    REQUIRE(relay.second.requests().size() == 1);
    CHECK(contains(relay.second.requests()[0], "Last-Event-ID: 2\r\n"));
    CHECK_FALSE(contains(relay.first.requests()[0], "Last-Event-ID"));
}

TEST_CASE("relay session: a stream that ends inside an event is not passed on as complete")
{
    const std::string cut_event = "id: 2\nda";
    const auto* const first_event = "id: 1\ndata: t\n\n";
    const auto broken =
        GENERATE_COPY(signed_head("") + first_event + cut_event,
                      stream_head + chunk_of_event(1) + "8\r\n" + cut_event + "\r\n" + last_chunk);
    CAPTURE(broken);
    const auto rest = stream_head + chunk_of_event(2) + last_chunk;
    SECTION("it is resumed on another target")
    {
        relay_fixture relay{repetition::resumable, respond_and_close(broken), respond_with(rest)};
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
        REQUIRE(relay.second.requests().size() == 1);
        CHECK(contains(relay.second.requests()[0], "Last-Event-ID: 1\r\n"));
    }
    SECTION("no other target can resume it")
    {
        relay_fixture relay{repetition::resumable, respond_and_close(broken), respond_and_close(broken)};
        CHECK(relay.exchange() == exchange_end::lost);
        CHECK(relay.caller->body == first_event);
    }
}

TEST_CASE("relay session: a stream without length or chunks is complete at the orderly end of its connection")
{
    const auto whole = signed_head("") + "id: 1\ndata: t\n\n";
    relay_fixture relay{repetition::resumable, respond_and_close(whole), respond_with(ok_response)};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a stream that can't be resumed is aborted visibly for the caller")
{
    const auto broken = stream_head + chunk_of_event(1);
    relay_fixture relay{repetition::resumable, respond_and_close(broken), respond_and_close(broken)};
    CHECK(relay.exchange() == exchange_end::lost);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
}

TEST_CASE("relay session: fail_over resumes a stream on another target immediately")
{
    auto relay = divided_stream();
    const auto session = relay.begin_stream();
    auto& sessions = relay.context.service("desk").sessions;
    REQUIRE(sessions.count("first") == 1);
    session->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(*relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: a caller's disconnect closes the connection to the target")
{
    relay_fixture relay{repetition::idempotent, [](tcp_link&, const std::string&) {},
                        respond_with(ok_response)};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.first.requests().size() == 1; }));
    relay.caller->disconnect();
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
    CHECK(relay.context.open_requests() == 0);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: a request read after its caller has disconnected is not forwarded")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    REQUIRE(relay.exchange() == exchange_end::complete); // Leaves an open connection to the target.
    asio::io_context other;
    asio::ip::tcp::socket caller{other};
    caller.connect({asio::ip::make_address("127.0.0.1"), relay.listener->port()});
    const std::string request = "POST /a HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                                "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi";
    asio::write(caller, asio::buffer(request));
    caller.close();
    REQUIRE(relay.loop.run_until(
        [&] { return relay.context.counters.text().find("outcome=\"caller_gone\"") != std::string::npos; }));
    REQUIRE(relay.loop.run_until([&] { return relay.context.open_requests() == 0; }));
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay session: a request still in flight at its deadline gets 504")
{
    relay_fixture relay{repetition::idempotent, [](tcp_link&, const std::string&) {},
                        respond_with(ok_response)};
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 80\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 504);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay session: without targets a request is rejected immediately")
{
    relay_fixture relay{repetition::idempotent, respond_with(ok_response), respond_with(ok_response)};
    relay.set_targets({});
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(relay.requests_sent() == 0);
}

TEST_CASE("relay session: only a request that can be repeated waits for the only replica while it is silent")
{
    const auto kind = GENERATE(repetition::idempotent, repetition::non_idempotent);
    relay_fixture relay{kind, respond_with(ok_response), respond_with(ok_response)};
    auto held = relay_fixture::target("first", relay.first);
    held.is_held = true;
    relay.set_targets({held});
    SECTION("time is left to find out whether the silence lasts")
    {
        CHECK(relay.exchange() == exchange_end::complete);
        CHECK(relay.caller->head.status == (kind == repetition::idempotent ? 200 : 503));
        CHECK(relay.requests_sent() == (kind == repetition::idempotent ? 1 : 0));
    }
    SECTION("too little time is left")
    {
        relay.caller->send(
            "POST /a HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
            "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
        CHECK(relay.caller->head.status == 503);
        CHECK(relay.requests_sent() == 0);
    }
}

TEST_CASE("relay session: retries stop when the shared retry budget is exhausted")
{
    relay_fixture relay{repetition::idempotent, respond_and_close(""), respond_with(ok_response)};
    relay.context.service("desk").retries = retry_window{{0.0, 0.0, 10_s}};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200); // Each daemon may always make one retry per window.
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
}

} // namespace coriander
