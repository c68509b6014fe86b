#include "platform/standin_host.hpp"

#include "net/channel_pool.hpp"
#include "support/event_loop.hpp"
#include "support/manual_clock.hpp"
#include "support/response_recorder.hpp"

#include <catch2/catch.hpp>

namespace coriander::standin {
namespace {

/// Three hosts of one domain that can form replicas, with streams that don't end by themselves.
struct standin_domain {
    standin_domain()
    {
        this->fleet.now = [this] { return this->clock.now(); };
        this->fleet.settings.load_time = 1_ms;
        this->fleet.settings.staged_join_time = 1_ms;
        this->fleet.settings.open_time = 1_ms;
        this->fleet.settings.event_interval = 1_ms;
        this->fleet.settings.stall_timeout = 60_s;
        this->fleet.settings.events_per_answer = 1'000'000;
        for (const auto* id : {"a", "b", "c"}) {
            this->hosts.push_back(std::make_unique<standin_host>(
                this->loop.context(), this->fleet, id, "assistant", "d1",
                [this](const std::string& name, const std::optional<std::string>& entry) {
                    this->entries[name] = parse_object(entry.value_or("{}")).value();
                }));
        }
    }

    standin_host& host(const std::string& id) { return *this->fleet.hosts.at(id); }

    std::shared_ptr<response_recorder> send(const std::string& id, const std::string& target,
                                            const std::string& body)
    {
        auto response = std::make_shared<response_recorder>();
        auto channel = std::make_shared<http_channel>(this->loop.context());
        channel->connect(parse_endpoint(text_member(this->entries[id], "address")), 1_s);
        channel->send("POST " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body,
                      *response);
        this->sent.emplace_back(response, channel);
        return response;
    }

    int order(const std::string& id, const json_object& text)
    {
        const auto response = this->send(id, "/order", to_text(text));
        REQUIRE(this->loop.run_until([&] { return response->end.has_value(); }));
        return response->head.status;
    }

    [[nodiscard]] std::string state(const std::string& id)
    {
        const auto& group = this->entries[id]["group"];
        return group.is_object() ? text_member(group, "name") + " " + text_member(group, "state") : "";
    }

    void join(const std::string& replica, std::uint64_t generation, std::vector<std::string> members)
    {
        for (const auto& id : members) {
            REQUIRE(this->order(id, {{"op", "join"},
                                     {"group", replica},
                                     {"epoch", generation},
                                     {"model", "large"},
                                     {"members", members}}) == 202);
            REQUIRE(this->loop.run_until([&] { return this->state(id) == replica + " ready"; }));
        }
    }

    void open(const std::string& replica, std::uint64_t generation, const std::string& leader)
    {
        REQUIRE(this->order(leader, {{"op", "open"}, {"group", replica}, {"epoch", generation}}) == 202);
        REQUIRE(this->loop.run_until([&] { return this->state(leader) == replica + " open"; }));
    }

    std::shared_ptr<response_recorder> start_stream(const std::string& leader)
    {
        auto stream = this->send(leader, "/chat/x", {});
        REQUIRE(this->loop.run_until([&] { return stream->head.status == 200; }));
        return stream;
    }

    /// Opens the replica `r1` of these hosts and starts a stream on it.
    std::shared_ptr<response_recorder> start_replica(const std::vector<std::string>& members = {"a", "b"})
    {
        this->join("r1", 1, members);
        this->open("r1", 1, members.front());
        return this->start_stream(members.front());
    }

    /// Sends a request to a leader whose replica stalls, and waits for longer than one interval.
    std::shared_ptr<response_recorder> start_waiting(const std::string& leader)
    {
        auto stream = this->send(leader, "/chat/x", {});
        this->run_some();
        return stream;
    }

    /// Runs the loop for many times the interval between events.
    void run_some()
    {
        for (int i = 0; i < 50; ++i) {
            this->loop.context().restart();
            this->loop.context().run_one_for(std::chrono::milliseconds{2});
        }
    }

    manual_clock clock;
    event_loop loop;
    fleet_state fleet;
    std::map<std::string, json_object> entries;
    std::vector<std::unique_ptr<standin_host>> hosts;
    std::vector<std::pair<std::shared_ptr<response_recorder>, std::shared_ptr<http_channel>>> sent;
};

} // namespace

TEST_CASE(
    "stand-in host: the first stall of a replica is not counted from a stall of its leader's previous one")
{
    standin_domain domain;
    (void)domain.start_replica();
    domain.host("b").pause();
    domain.run_some();
    domain.clock.advance(61_s);
    domain.run_some();
    domain.join("r2", 2, {"a", "c"});
    domain.open("r2", 2, "a");
    domain.host("c").pause();
    const auto stream = domain.start_waiting("a");
    CHECK(!stream->end);
    domain.host("c").resume();
    CHECK(domain.loop.run_until([&] { return stream->body.find("id: 1\n") != std::string::npos; }));
}

TEST_CASE("stand-in host: streams end with their replica and do not go on in the leader's next one")
{
    standin_domain domain;
    const auto left = domain.start_replica();
    CHECK(domain.order("a", {{"op", "leave"}, {"group", "r1"}, {"epoch", 1}}) == 202);
    CHECK(domain.loop.run_until([&] { return left->end == exchange_end::lost; }));
    domain.join("r2", 2, {"a", "b"});
    domain.open("r2", 2, "a");
    const auto replaced = domain.start_stream("a");
    domain.join("r3", 3, {"a", "b"});
    CHECK(domain.loop.run_until([&] { return replaced->end == exchange_end::lost; }));
}

TEST_CASE("stand-in host: an order to open does not open the replica that the leader has joined meanwhile")
{
    standin_domain domain;
    domain.fleet.settings.open_time = 20_ms;
    domain.join("r1", 1, {"a", "b"});
    CHECK(domain.order("a", {{"op", "open"}, {"group", "r1"}, {"epoch", 1}}) == 202);
    domain.join("r2", 2, {"a", "b"});
    domain.run_some();
    CHECK(domain.state("a") == "r2 ready");
}

TEST_CASE("stand-in host: a host that falls silent while it joins is ready once it answers again")
{
    standin_domain domain;
    domain.fleet.settings.load_time = 20_ms;
    CHECK(domain.order(
              "a",
              {{"op", "join"}, {"group", "r1"}, {"epoch", 1}, {"model", "large"}, {"members", {"a", "b"}}}) ==
          202);
    domain.host("a").pause();
    domain.run_some();
    domain.host("a").resume();
    CHECK(domain.loop.run_until([&] { return domain.state("a") == "r1 ready"; }));
}

TEST_CASE("stand-in host: a lost host does not answer again before it restarts")
{
    standin_domain domain;
    domain.host("a").crash();
    domain.host("a").resume();
    const auto report = domain.send("a", "/report", {});
    domain.run_some();
    CHECK(!report->end);
    domain.host("a").restart();
    CHECK(domain.order("a", {{"op", "stage"}, {"model", "large"}}) == 202);
}

TEST_CASE("stand-in host: a restart ends the streams of the life before and its leaving")
{
    standin_domain domain;
    const auto stream = domain.start_replica();
    domain.host("a").drain();
    domain.host("a").crash();
    domain.host("a").restart();
    CHECK(domain.loop.run_until([&] { return stream->end == exchange_end::lost; }));
    CHECK(text_member(domain.entries["a"], "state") == "ready");
}

TEST_CASE("stand-in host: a leader that falls silent for long itself breaks off no stream")
{
    standin_domain domain;
    const auto stream = domain.start_replica();
    domain.host("a").pause();
    domain.run_some();
    domain.clock.advance(61_s);
    domain.run_some();
    CHECK(!stream->end);
}

TEST_CASE("stand-in host: a stall that was over without a stream is not counted with the next one")
{
    standin_domain domain;
    (void)domain.start_replica();
    domain.host("b").pause();
    domain.run_some();
    domain.sent.back().second->close();
    domain.run_some();
    domain.clock.advance(61_s);
    const auto second = domain.start_waiting("a");
    CHECK(!second->end);
}

TEST_CASE("stand-in host: hosts that fall silent one after the other do not add up to a lost one")
{
    standin_domain domain;
    const auto stream = domain.start_replica({"a", "b", "c"});
    domain.host("b").pause();
    domain.run_some();
    domain.clock.advance(50_s);
    domain.host("c").pause();
    domain.host("b").resume();
    domain.run_some();
    domain.clock.advance(50_s);
    domain.run_some();
    CHECK(!stream->end);
}

TEST_CASE("stand-in host: requests that have not begun when a stall is too long are refused, not cut")
{
    standin_domain domain;
    const auto begun = domain.start_replica();
    domain.host("b").pause();
    domain.run_some();
    const auto waiting = domain.start_waiting("a");
    CHECK(waiting->head.status == 0);
    domain.clock.advance(61_s);
    REQUIRE(domain.loop.run_until([&] { return begun->end && waiting->end; }));
    CHECK(begun->end == exchange_end::lost);
    CHECK(waiting->end == exchange_end::complete);
    CHECK(waiting->head.status == 503);
    CHECK(waiting->head.header("Not-Executed") == "1");
    CHECK(waiting->head.header("At-Server") == "b");
}

} // namespace coriander::standin
