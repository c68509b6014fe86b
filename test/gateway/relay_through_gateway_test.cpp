#include "gateway/relay_mark.hpp"

#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// The refusal of a gateway that can't reach the service's hosts either.
const std::string cut_off_response =
    "HTTP/1.1 503 X\r\nCoriander-Attempt: a1\r\nCoriander-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// A gateway without a path to the hosts of `desk`; `first` and `second` are two other gateways.
struct cut_relay : relay_fixture {
    cut_relay(repetition kind, script first_script, script second_script)
        : relay_fixture{kind, std::move(first_script), std::move(second_script)}
    {
        this->set_targets({});
        this->context.is_cut = [this](const std::string&) { return this->is_cut; };
        this->context.relaying_gateways = [this] {
            return std::vector<relaying_gateway>{{this->identity("first", this->first), key_of("first")},
                                                 {this->identity("second", this->second), key_of("second")}};
        };
        this->context.name = "edge-1";
    }

    static member_identity identity(const std::string& name, const scripted_server& server)
    {
        return {name, 1, server.address(), {}, {}, {}, {}, {}};
    }
    static mac_key key_of(const std::string& gateway) { return gateway == "first" ? mac_key{1} : mac_key{2}; }
    /// The header of the fixture's request when another gateway passes it on to this one.
    [[nodiscard]] std::string valid_mark() const
    {
        return "Coriander-Relayed: " +
               make_relay_mark(this->context.relay_key, "edge-2",
                               {"edge-1", "POST", "/a?b=c", "desk.example", "a1", "60000"}) +
               "\r\n";
    }
    /// Whether the only request sent has a mark that the gateway that got it recognizes.
    [[nodiscard]] bool is_marked() const
    {
        const std::string name = this->first.requests().empty() ? "second" : "first";
        const auto sent = this->request_sent();
        const auto value = [&](const std::string& header) {
            const auto begin = sent.find(header + ": ") + header.size() + 2;
            return sent.substr(begin, sent.find('\r', begin) - begin);
        };
        const auto deadline_ms = value("Coriander-Deadline-Ms");
        return is_valid_relay_mark(key_of(name), value("Coriander-Relayed"),
                                   {name, "POST", "/a?b=c", "desk.example", "a1", deadline_ms});
    }
    [[nodiscard]] std::string request_sent() const
    {
        REQUIRE(this->requests_sent() == 1);
        return this->first.requests().empty() ? this->second.requests()[0] : this->first.requests()[0];
    }

    bool is_cut = true;
};

cut_relay relay_to_both(repetition kind, const std::string& response)
{
    return {kind, respond_with(response), respond_with(response)};
}

} // namespace

TEST_CASE("relay through gateway: without a path to the hosts, a request is passed on as the caller sent it")
{
    auto relay = relay_to_both(repetition::non_idempotent, ok_response);
    CHECK(relay.exchange("Coriander-Customer: leuven\r\n") == exchange_end::complete);
    CHECK(relay.caller->head.header("Coriander-Signature") == "s");
    CHECK(relay.caller->body == "ok");
    const auto sent = relay.request_sent();
    CHECK(contains(sent, "POST /a?b=c HTTP/1.1\r\n"));
    CHECK(contains(sent, "Host: desk.example\r\n"));
    CHECK(contains(sent, "Authorization: Bearer key\r\n"));
    CHECK(relay.is_marked());
    CHECK(contains(sent, "Coriander-Deadline-Ms: "));
    CHECK_FALSE(contains(sent, "Coriander-Customer"));
    CHECK_FALSE(contains(sent, "Coriander-Host"));
}

TEST_CASE(
    "relay through gateway: the other gateway's refusal and Retry-After reach the caller, without a retry")
{
    auto relay = relay_to_both(
        repetition::idempotent,
        "HTTP/1.1 503 X\r\nCoriander-Attempt: a1\r\nRetry-After: 0.700\r\nContent-Length: 0\r\n\r\n");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(relay.caller->head.header("Retry-After") == "0.700");
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay through gateway: what a target states in a response that another gateway passed on is not "
          "recorded for that gateway")
{
    const auto* const response =
        GENERATE("HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                 "Coriander-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 503 X\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                 "Coriander-Leaving: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n");
    auto relay = relay_to_both(repetition::idempotent, response);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.header("Coriander-Leaving") == "1");
    CHECK(relay.context.statements.size() == 0);
}

TEST_CASE("relay through gateway: a refused request does not count as one that has run without a crash")
{
    auto relay = relay_to_both(repetition::idempotent,
                               "HTTP/1.1 503 X\r\nCoriander-Attempt: a1\r\nContent-Length: 0\r\n\r\n");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.context.trials.take_cleared(relay.context.clock.now() + 10_s).empty());
}

TEST_CASE("relay through gateway: a gateway that is cut off too is not the last one that is tried")
{
    // Whichever is drawn first refuses.
    unsigned tried = 0;
    const auto refuse_first = [&](tcp_link& link, const std::string& /*request*/) {
        link.write(tried++ == 0 ? cut_off_response : ok_response);
    };
    cut_relay relay{repetition::non_idempotent, refuse_first, refuse_first};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay through gateway: a request is refused as not run if no gateway reaches the hosts")
{
    auto relay = relay_to_both(repetition::non_idempotent, cut_off_response);
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK_FALSE(relay.caller->head.header("Retry-After").empty());
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay through gateway: if all gateways seem to be cut off, a request is still sent to a target")
{
    auto relay = relay_to_both(repetition::idempotent, ok_response);
    relay.context.relaying_gateways = [] { return std::vector<relaying_gateway>{}; };
    relay.set_targets({relay_fixture::target("first", relay.first)});
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(contains(relay.request_sent(), "Coriander-Host: first\r\n"));
}

TEST_CASE("relay through gateway: a request that another gateway has passed on is not passed on again")
{
    auto relay = relay_to_both(repetition::idempotent, ok_response);
    CHECK(relay.exchange(relay.valid_mark()) == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(relay.caller->head.header("Coriander-Not-Run") == "1");
    CHECK(relay.requests_sent() == 0);
}

TEST_CASE(
    "relay through gateway: a gateway with a path does not forward the mark of a relayed request to targets")
{
    auto relay = relay_to_both(repetition::idempotent, ok_response);
    relay.is_cut = false;
    relay.set_targets({relay_fixture::target("first", relay.first)});
    CHECK(relay.exchange(relay.valid_mark()) == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK_FALSE(contains(relay.request_sent(), "Coriander-Relayed"));
}

TEST_CASE(
    "relay through gateway: too many requests of other gateways are refused, and those of callers are not")
{
    auto relay = relay_to_both(repetition::idempotent, ok_response);
    relay.is_cut = false;
    relay.set_targets({relay_fixture::target("first", relay.first)});
    relay.context.relayed_requests = relay_context::max_relayed_requests;
    CHECK(relay.exchange(relay.valid_mark()) == exchange_end::complete);
    CHECK(relay.caller->head.status == 503);
    CHECK(relay.caller->head.header("Coriander-Not-Run") == "1");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
}

TEST_CASE("relay through gateway: an invalid status of the other gateway is not passed on")
{
    const auto* const status = GENERATE("000", "099", "600");
    CAPTURE(status);
    auto relay = relay_to_both(repetition::non_idempotent,
                               "HTTP/1.1 " + std::string{status} +
                                   " OK\r\nCoriander-Attempt: a1\r\nCoriander-Signature: s\r\n"
                                   "Content-Length: 3\r\n\r\nbad");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.caller->head.header("Coriander-Not-Run").empty());
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay through gateway: a request that may run once is not repeated if the other gateway is lost")
{
    cut_relay relay{repetition::non_idempotent, respond_and_close(""), respond_and_close("")};
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
    CHECK(relay.requests_sent() == 1);
}

TEST_CASE("relay through gateway: an unsigned success of the other gateway is not passed on")
{
    auto relay = relay_to_both(repetition::non_idempotent,
                               "HTTP/1.1 200 OK\r\nCoriander-Attempt: a1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 502);
}

TEST_CASE("relay through gateway: a stream that loses its target with the path goes on through a gateway")
{
    cut_relay relay{repetition::resumable,
                    [](tcp_link& link, const std::string& request) {
                        if (contains(request, "Coriander-Host: first")) {
                            link.write(stream_head + chunk_of_event(1));
                        }
                        else {
                            link.write(stream_head + chunk_of_event(2) + last_chunk);
                        }
                    },
                    respond_with(stream_head + chunk_of_event(2) + last_chunk)};
    relay.is_cut = false;
    relay.set_targets({relay_fixture::target("first", relay.first)});
    const auto session = relay.begin_stream();
    relay.is_cut = true;
    session->fail_over();
    REQUIRE(relay.loop.run_until([&] { return relay.caller->end.has_value(); }));
    CHECK(relay.caller->end == exchange_end::complete);
    CHECK(relay.caller->body == "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    CHECK(relay.requests_sent() == 2);
}

TEST_CASE("relay through gateway: a target that can't be connected to is replaced by a gateway once the path "
          "turns out to be lost")
{
    auto relay = relay_to_both(repetition::non_idempotent, ok_response);
    relay.is_cut = false;
    auto unreachable = relay_fixture::target("first", relay.first);
    {
        const scripted_server closed{relay.loop.context(), respond_with("")};
        unreachable.address = closed.address();
    }
    relay.set_targets({unreachable});
    relay.context.check_path = [&](const listed_host& suspect, const on_path_checked& done) {
        CHECK(suspect.id == "first");
        relay.is_cut = true;
        done(false);
    };
    CHECK(relay.exchange() == exchange_end::complete);
    CHECK(relay.caller->head.status == 200);
    CHECK(relay.is_marked());
}

TEST_CASE("relay through gateway: when the caller leaves, the connection to the other gateway is closed")
{
    cut_relay relay{repetition::idempotent, respond_with(""), respond_with("")};
    relay.send();
    REQUIRE(relay.loop.run_until([&] { return relay.requests_sent() == 1; }));
    relay.caller->disconnect();
    CHECK(relay.loop.run_until([&] { return relay.first.closed() + relay.second.closed() == 1; }));
    CHECK(relay.loop.run_until([&] { return relay.context.open_requests() == 0; }));
}

} // namespace coriander
