#include "coriander/digest.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

// Requests that may move from a target that is still working on them.
namespace coriander {
namespace {

const std::string begun = stream_head + chunk_of_event(1);
const std::string whole_stream = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

/// A request on its first target, which has sent part of its response or nothing and can go on later.
struct moving_request {
    moving_request(repetition kind, std::string sent_first, relay_fixture::script second_script,
                   const std::string& headers = {})
        : relay{kind,
                [this, sent_first](tcp_link& link, const std::string& /*request*/) {
                    this->target = link.shared_from_this();
                    link.write(sent_first);
                },
                std::move(second_script)}
    {
        auto manifest = this->relay.context.routes->manifest();
        manifest.routes.front().is_stream = !sent_first.empty();
        this->relay.context.routes = std::make_shared<const route_table>(std::move(manifest));
        this->relay.send(headers);
        REQUIRE(this->relay.loop.run_until(
            [&] { return this->target && this->relay.caller->body.empty() == sent_first.empty(); }));
    }

    ~moving_request() { this->target.reset(); } // A link must not outlive its loop.
    moving_request(const moving_request&) = delete;
    moving_request& operator=(const moving_request&) = delete;

    [[nodiscard]] service_state& state() { return this->relay.context.service("desk"); }
    [[nodiscard]] std::shared_ptr<relay_session> session() { return this->relay.session_on_first(); }
    /// Lets the first target send the rest of its response, and waits for the end of the request.
    void go_on(const std::string& rest)
    {
        this->target->write(rest);
        REQUIRE(this->relay.loop.run_until([this] { return this->relay.caller->end.has_value(); }));
    }

    std::shared_ptr<tcp_link> target;
    relay_fixture relay;
};

/// Leaves no retry in the service's budget.
void exhaust_retries(service_state& state, time_ms now)
{
    state.retries = retry_window{{0.0, 0.0, 60_s}};
    REQUIRE(state.retries.try_retry(now, 1));
}

} // namespace

TEST_CASE("relay session: a stream whose target is silent for a moment is not cut for lack of a retry")
{
    moving_request request{repetition::resumable, begun, respond_with(ok_response)};
    exhaust_retries(request.state(), request.relay.context.clock.now());
    request.session()->fail_over();
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
    CHECK(request.relay.second.requests().empty());
}

TEST_CASE("relay session: a request whose target is silent for a moment does not fail for lack of a retry")
{
    moving_request request{repetition::idempotent, "", respond_with(ok_response)};
    exhaust_retries(request.state(), request.relay.context.clock.now());
    request.session()->fail_over();
    request.go_on(ok_response);
    CHECK(request.relay.caller->head.status == 200);
    CHECK(request.relay.second.requests().empty());
}

TEST_CASE("relay session: a stream that may crash its next target is not cut while its target is silent")
{
    moving_request request{repetition::resumable, begun, respond_with(ok_response),
                           "Coriander-Prompt: 5a:40,dead:30,01:10\r\n"};
    auto& quarantine = request.relay.context.quarantine;
    quarantine.add({1, true, {stable_hash("dead")}, {}}, request.relay.context.clock.now());
    quarantine.evaluate(request.relay.context.clock.now());
    request.session()->fail_over();
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
}

TEST_CASE("relay session: a stream is not cut if the last retry is used while it waits for a permit to move")
{
    moving_request request{repetition::resumable, begun, respond_with(ok_response)};
    auto& relay = request.relay;
    std::function<void(permit_decision)> answer;
    relay.context.request_permit = [&](const rate_limit& /*limit*/,
                                       const std::function<void(permit_decision)>& done) { answer = done; };
    request.state().board.on_rate_limit("second", 3.5, relay.context.clock.now());
    request.session()->fail_over();
    REQUIRE(answer != nullptr);
    exhaust_retries(request.state(), relay.context.clock.now());
    answer({true, {}});
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->body == whole_stream);
    CHECK(relay.second.requests().empty());
}

TEST_CASE("relay session: a begun stream that can't be resumed is not cut while its target is silent")
{
    moving_request request{repetition::idempotent, begun, respond_with(ok_response)};
    request.session()->fail_over();
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
}

TEST_CASE("relay session: a stream that moved is not cut if the new target does not take it")
{
    const auto answer = GENERATE(respond_with(not_run_response), respond_and_close(""),
                                 respond_with("HTTP/1.1 500 Error\r\nCoriander-Attempt: a1\r\n"
                                              "Coriander-Signature: s\r\nContent-Length: 0\r\n\r\n"),
                                 respond_with("not HTTP\r\n\r\n"));
    moving_request request{repetition::resumable, begun, answer};
    request.session()->fail_over();
    REQUIRE(request.relay.loop.run_until([&] { return request.state().sessions.count("first") == 1; }));
    CHECK(request.relay.second.requests().size() == 1);
    CHECK_FALSE(request.relay.caller->end);
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
    CHECK(request.relay.context.open_requests() == 0);
}

TEST_CASE("relay session: a target is not taken for empty while a request that moved may come back to it")
{
    moving_request request{repetition::resumable, begun, respond_with(not_run_response)};
    request.session()->fail_over();
    CHECK(request.state().held.count("first") == 1);
    REQUIRE(request.relay.loop.run_until([&] { return request.state().sessions.count("first") == 1; }));
    CHECK(request.state().held.empty());
    request.go_on(chunk_of_event(2) + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
}

TEST_CASE("relay session: a target is no longer held once the request that moved has been answered elsewhere")
{
    moving_request request{repetition::resumable, begun,
                           respond_with(stream_head + chunk_of_event(2) + last_chunk)};
    request.session()->fail_over();
    REQUIRE(request.relay.loop.run_until([&] { return request.relay.caller->end.has_value(); }));
    CHECK(request.state().held.empty());
}

TEST_CASE(
    "relay session: a stream that moved goes on with the first event that its old target had not completed")
{
    const std::string part = "5\r\nid: 2\r\n";
    moving_request request{repetition::resumable, begun + part, respond_with(not_run_response)};
    request.session()->fail_over();
    REQUIRE(request.relay.loop.run_until([&] { return request.state().sessions.count("first") == 1; }));
    request.go_on("a\r\n\ndata: t\n\n\r\n" + last_chunk);
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
}

TEST_CASE("relay session: what a target sends while the request tries another one is not lost")
{
    tcp_link* old_target = nullptr;
    moving_request request{repetition::resumable, begun,
                           [&old_target](tcp_link& link, const std::string& /*request*/) {
                               old_target->write(chunk_of_event(2) + last_chunk);
                               link.write(not_run_response);
                           }};
    old_target = request.target.get();
    request.session()->fail_over();
    REQUIRE(request.relay.loop.run_until([&] { return request.relay.caller->end.has_value(); }));
    CHECK(*request.relay.caller->end == exchange_end::complete);
    CHECK(request.relay.caller->body == whole_stream);
}

TEST_CASE(
    "relay session: a request that has left its target is cancelled there once another one has taken it")
{
    moving_request request{repetition::resumable, begun, respond_with(stream_head)};
    request.session()->fail_over();
    CHECK(request.relay.loop.run_until([&] { return request.relay.first.closed() == 1; }));
    CHECK(request.state().board.own_requests("first") == 0);
    CHECK_FALSE(request.relay.caller->end);
}

TEST_CASE("relay session: a caller's disconnect cancels the request at the target that it has left, too")
{
    moving_request request{repetition::resumable, begun, [](tcp_link&, const std::string&) {}};
    auto& relay = request.relay;
    request.session()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.second.requests().size() == 1; }));
    CHECK(relay.first.closed() == 0);
    relay.caller->disconnect();
    CHECK(relay.loop.run_until([&] { return relay.first.closed() == 1 && relay.second.closed() == 1; }));
    CHECK(relay.context.open_requests() == 0);
    CHECK(request.state().board.own_requests("first") == 0);
}

TEST_CASE(
    "relay session: a request that went back to its target is not sent more often than its route allows")
{
    moving_request request{repetition::resumable, begun, respond_with(not_run_response)};
    auto& relay = request.relay;
    request.session()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return request.state().sessions.count("first") == 1; }));
    request.session()->fail_over();
    request.target->close();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(*relay.caller->end == exchange_end::lost);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay session: a connection whose response ended while it was held still reads the next response")
{
    std::weak_ptr<tcp_link> new_target;
    moving_request request{repetition::idempotent, "", [&](tcp_link& link, const std::string& /*request*/) {
                               new_target = link.shared_from_this();
                           }};
    auto& relay = request.relay;
    request.session()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return !new_target.expired(); }));
    request.target->write(ok_response);
    for (int turn = 0; turn < 10; ++turn) {
        relay.loop.run_ready();
    }
    new_target.lock()->write(not_run_response);
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    REQUIRE(relay.caller->head.status == 200);
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.first.requests().size() == 2; }));
    request.go_on(ok_response);
    CHECK(relay.caller->head.status == 200);
}

TEST_CASE(
    "relay session: a request whose new target is silent, too, gets the response of the one that it left")
{
    moving_request request{repetition::resumable, begun, [](tcp_link&, const std::string&) {}};
    auto& relay = request.relay;
    request.session()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.second.requests().size() == 1; }));
    request.target->write(chunk_of_event(2) + last_chunk);
    for (int turn = 0; turn < 10; ++turn) {
        relay.loop.run_ready();
    }
    auto& sessions = request.state().sessions["second"];
    REQUIRE(sessions.size() == 1);
    (*sessions.begin())->shared_from_this()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(*relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->body == whole_stream);
}

TEST_CASE("relay session: a request that stays at its target does not use up the quarantine's probe")
{
    moving_request request{repetition::resumable, begun, respond_with(ok_response),
                           "Coriander-Prompt: 5a:40,dead:30,01:10\r\n"};
    auto& context = request.relay.context;
    context.may_probe_quarantine = [](fingerprint) { return true; };
    crash_update update;
    const fingerprint dead = stable_hash("dead");
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        update.suspects.push_back(
            {crash, true, {dead, 10 + crash}, time_ms{static_cast<std::int64_t>(200000 + 1000 * crash)}});
    }
    const auto now = context.clock.now();
    context.quarantine.merge(update, now);
    REQUIRE(context.quarantine.evaluate(now));
    REQUIRE(context.quarantine.entries().size() == 1);
    request.session()->fail_over();
    CHECK(request.relay.second.requests().empty());
    CHECK(request.state().sessions.count("first") == 1);
    const std::vector<fingerprint> prints{dead};
    CHECK(context.quarantine.classify(prints, context.may_probe_quarantine, now) ==
          quarantine_verdict::probe);
}

TEST_CASE("relay session: a target that is not read while a request tries another one is not suspected")
{
    moving_request request{repetition::resumable, begun, [](tcp_link&, const std::string&) {}};
    auto& relay = request.relay;
    request.session()->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.second.requests().size() == 1; }));
    const auto later = relay.context.clock.now() + 60_s;
    CHECK(request.state().board.own_requests("first") == 0);
    CHECK_FALSE(request.state().board.is_suspect("first", later));
    CHECK(request.state().board.is_suspect("second", later));
}

} // namespace coriander
