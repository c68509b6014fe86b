#include "coriander/membership.hpp"

#include "coriander/isolation_monitor.hpp"
#include "peer/peer_message.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <random>
#include <set>

namespace coriander {
namespace {

/// Daemons that exchange heartbeats in rounds of one second.
class beat_exchange {
public:
    explicit beat_exchange(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->members.push_back(std::make_unique<membership>(identity(i, 1)));
        }
        for (auto& member : this->members) {
            for (std::size_t i = 0; i < count; ++i) {
                member->add_identity(identity(i, 1), this->now);
            }
        }
    }

    static member_identity identity(std::size_t number, std::uint64_t incarnation)
    {
        const auto name = "entry-" + std::to_string(number);
        return {name, incarnation, name + ":80", name + ":81", "gent", "flanders", {}, {}};
    }

    void round()
    {
        this->now = this->now + 1_s;
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            if (this->stopped.contains(i)) {
                continue;
            }
            auto& member = *this->members[i];
            member.advance_heartbeat(1, false, true);
            const auto beats = member.heartbeats_to_send(this->now);
            for (const auto& target : member.choose_targets(3, this->now, this->random)) {
                this->deliver(i, target, beats);
            }
        }
    }

    void deliver(std::size_t from, const member_identity& target, const std::vector<member_heartbeat>& beats)
    {
        const auto to = static_cast<std::size_t>(std::stoul(target.name.substr(6)));
        const bool is_cut = this->cut_off.contains(from) != this->cut_off.contains(to);
        if (is_cut || this->stopped.contains(to)) {
            return;
        }
        for (const auto& beat : beats) {
            this->members[to]->merge_heartbeat(beat, this->now);
        }
    }

    [[nodiscard]] std::size_t alive_at(std::size_t number) const
    {
        return this->members[number]->alive(this->now).size();
    }

    std::vector<std::unique_ptr<membership>> members;
    std::set<std::size_t> stopped;
    std::set<std::size_t> cut_off;
    time_ms now = 100_s;
    std::mt19937_64 random{20261204};
};

} // namespace

TEST_CASE("membership: an identity alone does not make a member alive")
{
    membership member{beat_exchange::identity(0, 1)};
    member.add_identity(beat_exchange::identity(1, 1), 100_s);
    CHECK(member.alive(100_s).empty());
}

TEST_CASE("membership: all daemons see each other as alive within a few rounds")
{
    for (const std::size_t count : {2U, 8U, 40U}) {
        beat_exchange exchange{count};
        for (int i = 0; i < 8; ++i) {
            exchange.round();
        }
        for (std::size_t i = 0; i < count; ++i) {
            CAPTURE(count, i);
            CHECK(exchange.alive_at(i) == count - 1);
        }
    }
}

TEST_CASE("membership: only the daemon that stopped is considered dead after the window")
{
    beat_exchange exchange{8};
    for (int i = 0; i < 8; ++i) {
        exchange.round();
    }
    exchange.stopped.insert(3);
    for (int i = 0; i < 10; ++i) {
        exchange.round();
    }
    CHECK(exchange.alive_at(0) == 6);
    CHECK_FALSE(exchange.members[0]->is_alive("entry-3", 1, exchange.now));
}

TEST_CASE("membership: partitioned groups see only their own members until the partition heals")
{
    beat_exchange exchange{8};
    exchange.cut_off = {0, 1, 2};
    for (int i = 0; i < 12; ++i) {
        exchange.round();
    }
    CHECK(exchange.alive_at(0) == 2);
    CHECK(exchange.alive_at(5) == 4);
    exchange.cut_off.clear();
    for (int i = 0; i < 10; ++i) {
        exchange.round();
    }
    CHECK(exchange.alive_at(0) == 7);
}

TEST_CASE("membership: heartbeats of an old incarnation never replace those of a newer one")
{
    membership member{beat_exchange::identity(0, 1)};
    const auto id = member_id("entry-1");
    member.merge_heartbeat({id, 2, 1, 0, false, true}, 100_s);
    member.merge_heartbeat({id, 1, 900, 0, false, true}, 101_s);
    member.add_identity(beat_exchange::identity(1, 2), 101_s);
    CHECK(member.is_alive("entry-1", 2, 101_s));
    CHECK_FALSE(member.is_alive("entry-1", 1, 101_s));
}

TEST_CASE(
    "isolation monitor: a daemon that reaches neither the table nor other daemons stops after the bound")
{
    isolation_monitor monitor{5_s};
    monitor.on_table_contact(100_s);
    CHECK(monitor.may_serve(0, 7, 105_s));
    CHECK_FALSE(monitor.may_serve(0, 7, 106_s));
    CHECK(monitor.may_serve(1, 7, 1000_s)); // The table is down for all daemons: serving continues.
    CHECK(monitor.may_serve(0, 0, 1000_s)); // There are no other daemons.
}

TEST_CASE("peer message: a decoded message has the values that were encoded")
{
    peer_message message;
    message.identities = {beat_exchange::identity(1, 5)};
    message.beats = {{7, 5, 3, 9, true, false, true}};
    message.strikes = {{"digest", 2, 1, true}};
    message.demands = {{"gent", 12.5F}};
    message.config = config_record{9, "an", "token", 5_s, "[[profile]]"};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    const auto& decoded = read.value();
    CHECK(decoded.identities.front().peer_address == "entry-1:81");
    CHECK(decoded.beats.front().config_number == 9);
    CHECK(decoded.beats.front().stopping);
    CHECK_FALSE(decoded.beats.front().table_reachable);
    CHECK(decoded.beats.front().is_cut_off);
    CHECK(decoded.strikes.front().deaths_alone == 1);
    CHECK(decoded.demands.front().requests_per_second == 12.5F);
    CHECK(decoded.config->toml == "[[profile]]");
}

TEST_CASE("peer message: flags of a heartbeat that this build doesn't know are forwarded")
{
    peer_message message;
    message.beats = {{7, 5, 3, 9, true, true, false, false, 0xA0U}};
    const auto received = decode_peer_message(encode_peer_message(message));
    REQUIRE(received);
    membership member{beat_exchange::identity(0, 1)};
    member.merge_heartbeat(received.value().beats.front(), 100_s);
    peer_message forwarded;
    forwarded.beats = member.heartbeats_to_send(100_s);
    const auto read = decode_peer_message(encode_peer_message(forwarded));
    REQUIRE(read);
    REQUIRE(read.value().beats.size() == 2);
    CHECK(read.value().beats[0].unknown_flags == 0);
    CHECK(read.value().beats[1].unknown_flags == 0xA0U);
    CHECK(read.value().beats[1].stopping);
    CHECK_FALSE(read.value().beats[1].is_cut_off);
}

TEST_CASE("peer message: damaged bytes are decoded or refused, without a crash")
{
    peer_message message;
    message.identities = {beat_exchange::identity(1, 5), beat_exchange::identity(2, 5)};
    message.beats = {{7, 5, 3, 9, true, false}};
    const auto encoded = encode_peer_message(message);
    rc::prop("truncated and changed bytes", [&](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        auto bytes = encoded;
        bytes.resize(random() % (encoded.size() + 1));
        for (int i = 0; i < 3 && !bytes.empty(); ++i) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        const auto read = decode_peer_message(bytes);
        // RC_ASSERT evaluates both sides of `||`, so the check is made here.
        const bool is_read_or_refused = read || read.error().kind == error_kind::malformed;
        RC_ASSERT(is_read_or_refused);
    });
}

} // namespace coriander
