#include "peer/peer_link.hpp"

#include "support/event_loop.hpp"
#include "support/silent_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace coriander {
namespace {

/// A message that is too large for one write.
peer_message large_message()
{
    constexpr std::size_t size = 3U << 20U;
    peer_message message;
    message.config = config_record{};
    message.config->number = 7;
    message.config->toml.reserve(size);
    for (std::size_t i = 0; message.config->toml.size() < size; ++i) {
        message.config->toml += std::to_string(i) + ",";
    }
    return message;
}

} // namespace

TEST_CASE("peer link: a message larger than one write is received unchanged")
{
    event_loop loop;
    std::vector<peer_message> received;
    peer_link to{loop.context(), "127.0.0.1", 0,
                 [&](peer_message message) { received.push_back(std::move(message)); }};
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    const auto sent = large_message();
    from.send("127.0.0.1:" + std::to_string(to.port()), sent);
    REQUIRE(loop.run_until([&] { return !received.empty(); }));
    REQUIRE(received[0].config);
    const bool is_same = received[0].config->toml == sent.config->toml; // Too long to print.
    CHECK(is_same);
}

TEST_CASE("peer link: with a given loop, messages are received on the loop's thread")
{
    event_loop loop;
    std::vector<std::thread::id> threads;
    peer_link to{loop.context(), "127.0.0.1", 0,
                 [&](const peer_message&) { threads.push_back(std::this_thread::get_id()); }};
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    peer_message message;
    message.beats.push_back({1, 2, 3, 4, false, true});
    from.send("127.0.0.1:" + std::to_string(to.port()), message);
    REQUIRE(loop.run_until([&] { return !threads.empty(); }));
    CHECK(threads[0] == std::this_thread::get_id());
}

TEST_CASE("peer link: the first message after a peer's restart is not lost on the old connection")
{
    event_loop loop;
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    std::atomic<unsigned> first_count = 0;
    auto first = std::make_unique<peer_link>("127.0.0.1", 0, [&](const peer_message&) { ++first_count; });
    const auto port = first->port();
    const auto address = "127.0.0.1:" + std::to_string(port);
    from.send(address, {});
    REQUIRE(loop.run_until([&] { return first_count == 1; }));
    first.reset();
    std::vector<peer_message> received;
    peer_link second{loop.context(), "127.0.0.1", port,
                     [&](peer_message message) { received.push_back(std::move(message)); }};
    loop.context().restart();
    loop.context().run_for(std::chrono::milliseconds{50}); // The close arrives.
    from.send(address, {});
    CHECK(loop.run_until([&] { return received.size() == 1; }));
}

TEST_CASE("peer link: messages do not vanish for good on a connection that has gone silent")
{
    event_loop loop;
    silent_server peer{loop.context()};
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    from.send(peer.address(), {});
    REQUIRE(loop.run_until([&] { return peer.accepted() == 1 && peer.has_received_on_all(); }));
    REQUIRE(peer.silence_all());
    // Few enough messages that the socket's buffer does not fill up.
    constexpr std::chrono::milliseconds interval{100};
    auto sent_at = std::chrono::steady_clock::now();
    CHECK(loop.run_until([&] {
        if (std::chrono::steady_clock::now() - sent_at >= interval) {
            from.send(peer.address(), {});
            sent_at = std::chrono::steady_clock::now();
        }
        return peer.accepted() == 2;
    }));
}

TEST_CASE("peer message: a lost host is decoded as it was encoded")
{
    peer_message message;
    message.lost_hosts = {{"host-1", 17}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().lost_hosts.size() == 1);
    CHECK(read.value().lost_hosts.front().id == "host-1");
    CHECK(read.value().lost_hosts.front().incarnation == 17);
}

TEST_CASE("peer message: a report of kept requests is decoded as it was encoded")
{
    peer_message message;
    message.kept = {{"desk/d0", "d0-3"}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().kept.size() == 1);
    CHECK(read.value().kept.front().row_key == "desk/d0");
    CHECK(read.value().kept.front().replica == "d0-3");
}

TEST_CASE("peer message: reports on crashes are decoded as they were encoded")
{
    peer_message message;
    message.crashes = {{{5, true, {1, 2}, 70_ms}}, {{9, 80_ms}}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().crashes.suspects.size() == 1);
    const auto& suspect = read.value().crashes.suspects.front();
    CHECK(suspect.crash == 5);
    CHECK(suspect.had_started);
    CHECK(suspect.fingerprints == std::vector<fingerprint>{1, 2});
    CHECK(suspect.age == 70_ms);
    REQUIRE(read.value().crashes.cleared.size() == 1);
    CHECK(read.value().crashes.cleared.front().print == 9);
    CHECK(read.value().crashes.cleared.front().age == 80_ms);
}

TEST_CASE("peer message: rate limits and permits are decoded as they were encoded")
{
    peer_message message;
    message.loads.limits = {{7, 3.5, 20_ms}};
    message.permits = {{{11, {7, 2.5, 30_ms}}}, {{12, {false, 40_ms}}, {13, {true, {}}}}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().loads.limits.size() == 1);
    CHECK(read.value().loads.limits.front().target == 7);
    CHECK(read.value().loads.limits.front().per_second == 3.5);
    CHECK(read.value().loads.limits.front().age == 20_ms);
    REQUIRE(read.value().permits.requests.size() == 1);
    CHECK(read.value().permits.requests.front().id == 11);
    CHECK(read.value().permits.requests.front().limit.per_second == 2.5);
    REQUIRE(read.value().permits.answers.size() == 2);
    CHECK(read.value().permits.answers[0].decision.wait == 40_ms);
    CHECK_FALSE(read.value().permits.answers[0].decision.is_granted);
    CHECK(read.value().permits.answers[1].decision.is_granted);
}

TEST_CASE("peer message: statements of hosts are decoded as they were encoded")
{
    peer_message message;
    message.loads.statements = {{7, 250_ms, false}, {8, {}, true}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    const auto& statements = read.value().loads.statements;
    REQUIRE(statements.size() == 2);
    CHECK(statements[0].host == 7);
    CHECK(statements[0].pause_left == 250_ms);
    CHECK_FALSE(statements[0].is_leaving);
    CHECK(statements[1].host == 8);
    CHECK(statements[1].is_leaving);
}

TEST_CASE("peer message: a daemon's demand is decoded as it was encoded")
{
    peer_message message;
    message.loads.demands = {{9, {1.5, 1420.0, 175.0, 2100.0}}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().loads.demands.size() == 1);
    const auto& demand = read.value().loads.demands.front();
    CHECK(demand.model == 9);
    CHECK(demand.load.requests_per_s == 1.5);
    CHECK(demand.load.prompt_tokens == 1420.0);
    CHECK(demand.load.answer_tokens == 175.0);
    CHECK(demand.load.duration_ms == 2100.0);
}

TEST_CASE("peer message: loads are decoded as they were encoded, and counts above 16 bits are clamped")
{
    peer_message message;
    message.loads.targets = {{7, 20, 3, 150_ms}, {8, 100000, 0, 0_ms}};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    REQUIRE(read.value().loads.targets.size() == 2);
    CHECK(read.value().loads.targets[0].target == 7);
    CHECK(read.value().loads.targets[0].running == 20);
    CHECK(read.value().loads.targets[0].waiting == 3);
    CHECK(read.value().loads.targets[0].age == 150_ms);
    CHECK(read.value().loads.targets[1].running == 65535);
}

TEST_CASE("peer link: messages sent together all arrive, in order")
{
    event_loop loop;
    std::vector<std::uint32_t> received;
    peer_link to{loop.context(), "127.0.0.1", 0,
                 [&](const peer_message& message) { received.push_back(message.beats.front().counter); }};
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    for (std::uint32_t number = 1; number <= 3; ++number) {
        peer_message message;
        message.beats.push_back({1, 2, number, 4, false, true});
        from.send("127.0.0.1:" + std::to_string(to.port()), message);
    }
    REQUIRE(loop.run_until([&] { return received.size() == 3; }));
    CHECK(received == std::vector<std::uint32_t>{1, 2, 3});
}

TEST_CASE("peer messages: a table's changes keep the era of their versions")
{
    peer_message message;
    message.news = table_delta{"replicas", {3, 5}, {3, 9}, {}, {{"a", "1", {3, 8}}}};
    const auto decoded = decode_peer_message(encode_peer_message(message));
    REQUIRE(decoded);
    REQUIRE(decoded.value().news);
    CHECK(decoded.value().news->from == row_version{3, 5});
    CHECK(decoded.value().news->to == row_version{3, 9});
    CHECK(decoded.value().news->rows.front().version == row_version{3, 8});
}

} // namespace coriander
