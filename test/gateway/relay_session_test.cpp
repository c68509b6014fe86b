#include "gateway/relay_session.hpp"
#include "net/http_listener.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"
#include "support/test_caller.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

namespace coriander {
namespace {

std::string signed_head(const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n" + more + "\r\n";
}

const std::string stream_head = signed_head("Transfer-Encoding: chunked\r\n");

std::string chunk_of_event(int number)
{
    const auto event = "id: " + std::to_string(number) + "\ndata: t\n\n";
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

const std::string last_chunk = "0\r\n\r\n";
const std::string not_run_answer = "HTTP/1.1 503 Busy\r\nCoriander-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// A gateway's request path before two scripted targets, `first` and `second`, for a service `desk`.
struct relay_fixture {
    using script = scripted_server::on_request;

    relay_fixture(repetition kind, script first_script, script second_script)
        : first{this->loop.context(), std::move(first_script)}, second{this->loop.context(),
                                                                       std::move(second_script)}
    {
        relay_manifest manifest;
        manifest.version = 1;
        relay_route route;
        route.name = "to-desk";
        route.host_name = "desk.example";
        route.path_prefix = "/";
        route.services = {{"desk", 1.0}};
        route.kind = kind;
        route.is_stream = kind == repetition::resumable;
        route.max_attempts = 2;
        route.time_limit = this->time_limit;
        manifest.routes = {route};
        manifest.services["desk"].name = "desk";
        manifest.customers = {{"gent", {"key"}, std::nullopt}};
        this->context.routes = std::make_shared<const route_table>(std::move(manifest));
        this->set_targets({this->target("first", this->first), this->target("second", this->second)});
        connection_handlers handlers;
        handlers.on_request = [this](const std::shared_ptr<caller_connection>& caller, incoming_request one) {
            std::make_shared<relay_session>(this->context, caller, std::move(one))->start();
        };
        handlers.limits = [] { return connection_limits{}; };
        handlers.is_closing = [] { return false; };
        this->listener = std::make_shared<http_listener>(
            this->loop.context(), asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, handlers);
        this->listener->start();
        this->caller = std::make_unique<test_caller>(this->loop.context(), this->listener->port());
    }
    ~relay_fixture() { this->listener->stop(); }
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;

    static relay_target target(const std::string& id, const scripted_server& server)
    {
        // The first target is near, so that it is chosen first.
        return {id, id, server.address(), id == "first" ? "here" : "there", {}, 1, 100, 1.0};
    }
    void set_targets(const std::vector<relay_target>& targets)
    {
        this->context.service("desk").board.set_targets(targets);
    }

    void send(const std::string& more_headers = {})
    {
        this->caller->send("POST /a?b=c HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                           "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 60000\r\nX-Own: 1\r\n" +
                           more_headers + "Content-Length: 2\r\n\r\nhi");
    }
    /// Sends a request and waits for the end of its answer.
    exchange_end ask(const std::string& more_headers = {})
    {
        this->send(more_headers);
        REQUIRE(this->loop.run_until([this] { return this->caller->end.has_value(); }));
        return *this->caller->end;
    }
    [[nodiscard]] std::size_t sent() const
    {
        return this->first.requests().size() + this->second.requests().size();
    }

    time_ms time_limit = 60_s;
    event_loop loop;
    scripted_server first;
    scripted_server second;
    relay_context context{this->loop.context(), relay_dialect{}, "here"};
    std::shared_ptr<http_listener> listener;
    std::unique_ptr<test_caller> caller;
};

relay_fixture::script answer_with(const std::string& text)
{
    return [text](tcp_link& link, const std::string& /*request*/) { link.write(text); };
}

relay_fixture::script answer_and_close(const std::string& text)
{
    return [text](tcp_link& link, const std::string& /*request*/) {
        link.write(text);
        link.close_when_sent();
    };
}

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

const std::string whole_answer = signed_head("Content-Length: 2\r\n") + "ok";

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("relay session: a request is passed on unchanged but for what concerns this connection")
{
    relay_fixture relay{repetition::non_idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    CHECK(relay.ask("Coriander-Customer: leuven\r\nConnection: X-Hop\r\nX-Hop: 1\r\n") ==
          exchange_end::complete);
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
    CHECK(relay.caller->body == "ok");
    REQUIRE(relay.first.requests().size() == 1);
    const auto& sent = relay.first.requests()[0];
    CHECK(holds(sent, "POST /a?b=c HTTP/1.1\r\n"));
    CHECK(holds(sent, "Host: desk.example\r\n"));
    CHECK(holds(sent, "X-Own: 1\r\n"));
    CHECK(holds(sent, "Coriander-Customer: gent\r\n"));
    CHECK(holds(sent, "Coriander-Host: first\r\n"));
    CHECK(holds(sent, "\r\n\r\nhi"));
    CHECK_FALSE(holds(sent, "leuven"));
    CHECK_FALSE(holds(sent, "Bearer"));
    CHECK_FALSE(holds(sent, "X-Hop"));
}

TEST_CASE("relay session: requests without a route or with an unknown key are refused without a target")
{
    relay_fixture relay{repetition::idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    relay.caller->send("GET / HTTP/1.1\r\nHost: other.example\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 404);
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer no\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 401);
    CHECK(relay.sent() == 0);
}

TEST_CASE("relay session: before a manifest is known the answer is a refusal, not an error of the caller's")
{
    relay_fixture relay{repetition::idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    relay.context.routes = nullptr;
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
}

TEST_CASE("relay session: a call that may not be repeated is sent once when its answer is lost")
{
    relay_fixture relay{repetition::non_idempotent, answer_and_close(""), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.sent() == 1);
}

TEST_CASE("relay session: a call that may not be repeated goes on when the target says that it has not run")
{
    relay_fixture relay{repetition::non_idempotent, answer_with(not_run_answer), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.sent() == 2);
}

TEST_CASE("relay session: what no target has run is refused with a time to come back")
{
    relay_fixture relay{repetition::non_idempotent, answer_with(not_run_answer), answer_with(not_run_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.sent() == 2);
}

TEST_CASE("relay session: an idempotent call is answered by another target when the first one fails")
{
    const auto* const broken =
        GENERATE("", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "nonsense\r\n\r\n");
    CAPTURE(broken);
    relay_fixture relay{repetition::idempotent, answer_and_close(broken), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.caller->body == "ok");
}

TEST_CASE("relay session: answers that are not the request's own never reach the caller")
{
    const auto* const foreign = GENERATE(
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: other\r\nCoriander-Signature: s\r\nContent-Length: "
        "2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Signature: s\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\nContent-Encoding: gzip\r\n"
        "Content-Length: 2\r\n\r\nno");
    CAPTURE(foreign);
    relay_fixture relay{repetition::non_idempotent, answer_with(foreign), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->body.empty());
}

TEST_CASE("relay session: a target's own error is passed on when it can't be helped")
{
    const std::string failure = "HTTP/1.1 500 Oops\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                                "Content-Length: 3\r\n\r\nbad";
    relay_fixture relay{repetition::non_idempotent, answer_with(failure), answer_with(whole_answer)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 500);
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
    CHECK(relay.caller->body == "bad");
}

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

TEST_CASE("relay session: a stream that breaks goes on elsewhere, with no event twice, missing or cut")
{
    const auto broken = stream_head + chunk_of_event(1) + chunk_of_event(2) + "8\r\nid: 3\nda\r\n";
    const auto rest = stream_head + chunk_of_event(2) + chunk_of_event(3) + chunk_of_event(4) + last_chunk;
    relay_fixture relay{repetition::resumable, answer_and_close(broken), answer_with(rest)};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\nid: 4\ndata: t\n\n");
    REQUIRE(relay.second.requests().size() == 1);
    CHECK(holds(relay.second.requests()[0], "Last-Event-ID: 2\r\n"));
    CHECK_FALSE(holds(relay.first.requests()[0], "Last-Event-ID"));
}

TEST_CASE("relay session: a stream that can't go on elsewhere is visibly cut")
{
    const auto broken = stream_head + chunk_of_event(1);
    relay_fixture relay{repetition::resumable, answer_and_close(broken), answer_and_close(broken)};
    CHECK(relay.ask() == exchange_end::lost);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\n");
}

TEST_CASE("relay session: a stream on a replica that is left goes on elsewhere at once")
{
    const auto begun = stream_head + chunk_of_event(1);
    const auto rest = stream_head + chunk_of_event(2) + last_chunk;
    relay_fixture relay{repetition::resumable, answer_with(begun), answer_with(rest)};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return !relay.caller->body.empty(); }));
    auto& sessions = relay.context.service("desk").sessions;
    REQUIRE(sessions.count("first") == 1);
    const auto session = (*sessions["first"].begin())->shared_from_this();
    session->leave_target();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(*relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
}

TEST_CASE("relay session: a caller's leaving is passed on to the target")
{
    relay_fixture relay{repetition::idempotent, [](tcp_link&, const std::string&) {},
                        answer_with(whole_answer)};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.first.requests().size() == 1; }));
    relay.caller->leave();
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1; }));
    CHECK(relay.context.open_requests == 0);
    CHECK(relay.sent() == 1);
}

TEST_CASE("relay session: a request that is read only after its caller has left is not sent on")
{
    relay_fixture relay{repetition::idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    REQUIRE(relay.ask() == exchange_end::complete); // Leaves an open connection to the target.
    asio::io_context other;
    asio::ip::tcp::socket caller{other};
    caller.connect({asio::ip::make_address("127.0.0.1"), relay.listener->port()});
    const std::string request = "POST /a HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                                "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi";
    asio::write(caller, asio::buffer(request));
    caller.close();
    REQUIRE(relay.loop.run_until(
        [&] { return relay.context.counters.text().find("outcome=\"caller_gone\"") != std::string::npos; }));
    REQUIRE(relay.loop.run_until([&] { return relay.context.open_requests == 0; }));
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.sent() == 2);
}

TEST_CASE("relay session: the time limit ends a request that a target still holds, as unknown")
{
    relay_fixture relay{repetition::idempotent, [](tcp_link&, const std::string&) {},
                        answer_with(whole_answer)};
    relay.caller->send("GET / HTTP/1.1\r\nHost: desk.example\r\nCoriander-Attempt: a1\r\n"
                       "Authorization: Bearer key\r\nCoriander-Deadline-Ms: 80\r\n\r\n");
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->head.status == 504);
    CHECK(relay.sent() == 1);
}

TEST_CASE("relay session: without a target the answer comes at once and asks none")
{
    relay_fixture relay{repetition::idempotent, answer_with(whole_answer), answer_with(whole_answer)};
    relay.set_targets({});
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(relay.sent() == 0);
}

TEST_CASE("relay session: retries stop when the budget of all daemons is used up")
{
    relay_fixture relay{repetition::idempotent, answer_and_close(""), answer_with(whole_answer)};
    relay.context.service("desk").retries = retry_window{{0.0, 0.0, 10_s}};
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200); // Each daemon may always send one.
    CHECK(relay.ask() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
}

} // namespace coriander
