#include "coriander/relay/target_statements.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;

} // namespace

TEST_CASE("target statements: leaving holds for one incarnation at one address")
{
    target_statements statements;
    const auto host = key_of_host("i-1", 7, "10.0.0.1:80");
    CHECK(statements.on_leaving(host, start));
    CHECK_FALSE(statements.on_leaving(host, start + 1_s));
    CHECK(statements.is_leaving(host));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-1", 8, "10.0.0.1:80")));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-1", 7, "10.0.0.2:80")));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-2", 7, "10.0.0.1:80")));
}

TEST_CASE("target statements: a pause ends after the stated wait, and within the spread after it")
{
    const auto host = key_of_host("i-1", 7, "10.0.0.1:80");
    rc::prop("the daemon returns in the spread", [&] {
        const time_ms wait{*rc::gen::inRange(1, 100'000)};
        const double noise = *rc::gen::inRange(0, 1000) / 1000.0;
        target_statements statements;
        RC_ASSERT(statements.on_pause(host, wait, noise, start));
        RC_ASSERT(statements.paused_until(host) >= start + wait);
        RC_ASSERT(statements.paused_until(host) < start + wait + std::max(100_ms, wait / 4));
        RC_ASSERT(statements.paused_until(host) < start + wait + 1_s);
    });
}

TEST_CASE("target statements: the longest of several waits counts, and daemons return at different times")
{
    target_statements one;
    target_statements other;
    const auto host = key_of_host("i-1", 7, "10.0.0.1:80");
    CHECK(one.on_pause(host, 4_s, 0.1, start));
    CHECK_FALSE(one.on_pause(host, 1_s, 0.1, start + 1_s));
    CHECK(one.paused_until(host) == start + 4100_ms);
    CHECK(other.on_pause(host, 4_s, 0.9, start));
    CHECK(other.paused_until(host) == start + 4900_ms);
    CHECK(one.on_pause(host, 4_s, 0.9, start + 4_s)); // Not over here yet: the same share.
    CHECK(one.paused_until(host) == start + 8100_ms);
    CHECK(one.on_pause(host, 4_s, 0.9, start + 9_s));
    CHECK(one.paused_until(host) == start + 13900_ms);
}

TEST_CASE("target statements: a host is believed however long a wait it states")
{
    target_statements statements;
    statements.on_pause(1, time_ms{std::numeric_limits<std::int64_t>::max()}, 0.5, start);
    CHECK(statements.paused_until(1) > start + 3600_s * 24 * 365);
    CHECK_FALSE(statements.is_leaving(1));
}

TEST_CASE("target statements: what another daemon passes on holds as a response does")
{
    target_statements own;
    target_statements other;
    other.on_pause(1, 4_s, 0.5, start);
    other.on_leaving(2, start + 1_s);
    const auto sent = other.report(8, start + 2_s);
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].host == 2); // The newest first.
    for (const auto& one : sent) {
        CHECK(own.on_peer_statement(one, 0.5, start + 2_s));
        CHECK_FALSE(own.on_peer_statement(one, 0.5, start + 2_s));
    }
    CHECK(own.paused_until(1) == start + 4250_ms); // A quarter of what is left is 500 ms.
    CHECK(own.is_leaving(2));
    CHECK(other.report(1, start + 2_s).size() == 1);
}

TEST_CASE("target statements: daemons that pass a wait on to each other don't prolong it")
{
    std::array<target_statements, 3> daemons;
    daemons[0].on_pause(1, 4_s, 0.0, start);
    auto now = start;
    for (int round = 0; round < 30; ++round) {
        const auto sent = daemons[static_cast<std::size_t>(round % 3)].report(8, now);
        now = now + 7_ms; // On the way.
        for (auto& daemon : daemons) {
            for (const auto& one : sent) {
                daemon.on_peer_statement(one, 0.0, now);
            }
        }
    }
    for (const auto& daemon : daemons) {
        CHECK(daemon.paused_until(1) >= start + 4_s);
        CHECK(daemon.paused_until(1) <= start + 4_s + 100_ms);
    }
}

TEST_CASE("target statements: those in force are counted")
{
    target_statements statements;
    statements.on_pause(1, 4_s, 0.9, start);
    statements.on_leaving(2, start);
    CHECK(statements.counts(start + 3_s).pauses == 1);
    CHECK(statements.counts(start + 4_s).pauses == 0);
    CHECK(statements.counts(start + 4_s).leaving == 1);
}

TEST_CASE("target statements: daemons stop passing on what is over or old")
{
    target_statements statements;
    statements.on_pause(1, 4_s, 0.9, start);
    statements.on_leaving(2, start);
    CHECK(statements.report(8, start + 3999_ms).size() == 2);
    CHECK(statements.report(8, start + 4_s).size() == 1);
    CHECK(statements.report(8, start + 60_s).empty());
    CHECK(statements.is_leaving(2));
}

TEST_CASE("target statements: beyond the limit, the host with the oldest statement is forgotten")
{
    target_statements statements;
    for (std::uint64_t i = 0; i <= target_statements::max_hosts; ++i) {
        statements.on_leaving(i, start + time_ms{static_cast<std::int64_t>(i)});
        statements.on_leaving(0, start + time_ms{static_cast<std::int64_t>(i)});
    }
    CHECK(statements.size() == target_statements::max_hosts);
    CHECK(statements.is_leaving(0));
    CHECK_FALSE(statements.is_leaving(1));
    CHECK(statements.is_leaving(2));
}

} // namespace coriander
