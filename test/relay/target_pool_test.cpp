#include "coriander/relay/target_pool.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

relay_target target_named(const std::string& id, const std::string& domain = "gent")
{
    return {id, id + "-leader", "127.0.0.1:1", domain, "m", 1, 26, 1.0};
}

target_pool pool_with(const std::vector<relay_target>& targets)
{
    target_pool pool;
    pool.set_targets(targets);
    return pool;
}

std::string chosen(const target_pool& pool, time_ms now, std::size_t daemons = 1,
                   const std::vector<std::string>& tried = {})
{
    const auto choice = pool.choose({"m", "gent", tried, daemons}, 0.5, now);
    return choice ? choice->target.id : "none";
}

} // namespace

TEST_CASE("target pool: the least loaded target is chosen")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    for (int i = 0; i < 3; ++i) {
        pool.on_sent("a", start);
    }
    CHECK(chosen(pool, start) == "b");
}

TEST_CASE("target pool: among equally loaded targets the own failure domain is preferred")
{
    const auto pool = pool_with({target_named("a", "leuven"), target_named("b", "gent")});
    CHECK(chosen(pool, start) == "b");
}

TEST_CASE("target pool: a target that was tried or serves another model is not chosen")
{
    const auto pool = pool_with({target_named("a")});
    CHECK(chosen(pool, start, 1, {"a"}) == "none");
    CHECK_FALSE(pool.choose({"other", "gent", {}, 1}, 0.5, start));
}

TEST_CASE("target pool: a silent target is chosen only without another one, by requests that can wait there")
{
    auto held = target_named("a");
    held.is_held = true;
    auto pool = pool_with({held, target_named("b")});
    target_criteria criteria{"m", "gent", {}, 1};
    CHECK(pool.choose(criteria, 0.5, start)->target.id == "b");
    pool.suspend("b", suspension::failing, start + 1_s);
    CHECK_FALSE(pool.choose(criteria, 0.5, start));
    criteria.includes_silent = true;
    const auto choice = pool.choose(criteria, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->target.id == "a");
    CHECK(choice->is_silent);
    pool.suspend("a", suspension::stalled, start + 1_s);
    CHECK(pool.choose(criteria, 0.5, start));
    pool.suspend("a", suspension::declined, start + 2_s);
    CHECK_FALSE(pool.choose(criteria, 0.5, start));
}

TEST_CASE("target pool: a target that stalled is silent only while its hosts are probed, unless it is held")
{
    auto pool = pool_with({target_named("a")});
    target_criteria criteria{"m", "gent", {}, 1};
    criteria.includes_silent = true;
    pool.suspend("a", suspension::probed, start + 40_ms);
    CHECK(pool.choose(criteria, 0.5, start)->is_silent);
    pool.suspend("a", suspension::stalled, start + 1_s);
    CHECK_FALSE(pool.choose(criteria, 0.5, start));
}

TEST_CASE("target pool: a probe does not turn a longer suspension into a silence to wait for")
{
    auto pool = pool_with({target_named("a")});
    target_criteria criteria{"m", "gent", {}, 1};
    criteria.includes_silent = true;
    pool.suspend("a", suspension::declined, start + 1_s);
    pool.suspend("a", suspension::probed, start + 40_ms);
    CHECK_FALSE(pool.choose(criteria, 0.5, start));
}

TEST_CASE("target pool: a held target whose host answers again is not avoided any longer")
{
    auto target = target_named("a");
    target.is_held = true;
    auto pool = pool_with({target});
    pool.suspend("a", suspension::stalled, start + 1500_ms);
    CHECK(chosen(pool, start) == "none");
    target.is_held = false;
    pool.set_targets(std::vector{target});
    CHECK(chosen(pool, start) == "a");
}

TEST_CASE("target pool: other daemons' requests are derived from the load that a target reports")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    pool.on_load("a", 20, 3, start);
    CHECK(chosen(pool, start) == "b");
    const auto choice = pool.choose({"m", "gent", std::vector<std::string>{"b"}, 1}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0));
}

TEST_CASE("target pool: a full target is tried again once its load report has expired")
{
    auto pool = pool_with({target_named("a")});
    pool.on_load("a", 26, 14, start);
    const auto choice = pool.choose({"m", "gent", {}, 7}, 0.5, start + 3_s);
    REQUIRE(choice);
    CHECK(choice->total() < 1.0);
}

TEST_CASE("target pool: without recent reports the other daemons are assumed to send as much as this one")
{
    auto pool = pool_with({target_named("a")});
    for (int i = 0; i < 4; ++i) {
        pool.on_sent("a", start);
    }
    const auto choice = pool.choose({"m", "gent", {}, 7}, 0.5, start + 5_s);
    REQUIRE(choice);
    CHECK(choice->total() == Approx(28.0));
}

TEST_CASE("target pool: a load that a target reported to another daemon is taken into account")
{
    auto reporter = pool_with({target_named("a"), target_named("b")});
    auto other = pool_with({target_named("a"), target_named("b")});
    reporter.on_load("a", 20, 3, start);
    for (const auto& report : reporter.reports(10, start)) {
        other.on_peer_report(report, start);
    }
    const auto choice = other.choose({"m", "gent", std::vector<std::string>{"b"}, 1}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0));
}

TEST_CASE("target pool: an older report from a peer does not replace a newer one")
{
    auto pool = pool_with({target_named("a")});
    pool.on_load("a", 20, 3, start);
    auto report = pool.reports(1, start).front();
    report.running = 0;
    report.waiting = 0;
    report.age = 200_ms;
    pool.on_peer_report(report, start + 100_ms);
    CHECK(pool.choose({"m", "gent", {}, 1}, 0.5, start)->other_requests == Approx(23.0));
}

TEST_CASE("target pool: a report of a previous generation is ignored")
{
    auto previous = pool_with({target_named("a")});
    previous.on_load("a", 20, 3, start);
    auto current = target_named("a");
    current.generation = 2;
    auto pool = pool_with({current});
    pool.on_peer_report(previous.reports(1, start).front(), start);
    CHECK(pool.reports(1, start).empty());
}

TEST_CASE("target pool: only the newest reports are passed on, and none that has expired")
{
    auto pool = pool_with({target_named("a"), target_named("b"), target_named("c")});
    pool.on_load("a", 1, 0, start);
    pool.on_load("b", 2, 0, start + 2_s);
    pool.on_load("c", 3, 0, start + 2100_ms);
    const auto reports = pool.reports(2, start + 2200_ms);
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].running == 3);
    CHECK(reports[0].age == 100_ms);
    CHECK(reports[1].running == 2);
}

TEST_CASE("target pool: a target without a report is assumed to be as loaded as the targets with one")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    pool.on_load("a", 20, 3, start);
    const auto choice = pool.choose({"m", "gent", std::vector<std::string>{"a"}, 60}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0).epsilon(0.05));
}

TEST_CASE("target pool: many daemons with the same data do not all choose the least loaded target")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    pool.on_load("a", 0, 0, start);
    pool.on_load("b", 5, 0, start);
    int least_loaded = 0;
    for (int i = 0; i < 100; ++i) {
        const auto choice = pool.choose({"m", "gent", {}, 60}, i / 100.0, start);
        least_loaded += choice->target.id == "a" ? 1 : 0;
    }
    CHECK(least_loaded > 50);
    CHECK(least_loaded < 90);
}

TEST_CASE("target pool: consecutive failures take a target out of rotation temporarily")
{
    auto pool = pool_with({target_named("a")});
    for (int i = 0; i < 3; ++i) {
        pool.on_sent("a", start);
        pool.on_ended("a", false, true, start);
    }
    CHECK(chosen(pool, start + 100_ms) == "none");
    CHECK(chosen(pool, start + 2_s) == "a");
}

TEST_CASE("target pool: a success resets the count of consecutive failures")
{
    auto pool = pool_with({target_named("a")});
    for (int i = 0; i < 6; ++i) {
        pool.on_sent("a", start);
        pool.on_ended("a", true, i % 3 != 2, start);
    }
    CHECK(chosen(pool, start) == "a");
}

TEST_CASE("target pool: a removed target gets no new requests, and its open requests are still counted")
{
    auto pool = pool_with({target_named("a")});
    pool.on_sent("a", start);
    pool.set_targets({});
    CHECK(chosen(pool, start) == "none");
    CHECK(pool.own_requests("a") == 1);
    pool.on_ended("a", true, false, start);
    CHECK(pool.own_requests("a") == 0);
}

TEST_CASE("target pool: a re-formed replica starts without the state of its previous generation")
{
    auto pool = pool_with({target_named("a")});
    pool.suspend("a", suspension::stalled, start + 60_s);
    auto reformed = target_named("a");
    reformed.generation = 2;
    pool.set_targets(std::vector{reformed});
    CHECK(chosen(pool, start) == "a");
}

TEST_CASE("target pool: a rate limit holds until a response states none, or is not confirmed any more")
{
    auto pool = pool_with({target_named("a")});
    CHECK_FALSE(pool.limit_of("a", start));
    pool.on_rate_limit("a", 3.5, start);
    REQUIRE(pool.limit_of("a", start + 9_s));
    CHECK(pool.limit_of("a", start + 9_s)->per_second == 3.5);
    CHECK_FALSE(pool.limit_of("a", start + 10_s));
    pool.on_rate_limit("a", std::nullopt, start + 1_s);
    CHECK_FALSE(pool.limit_of("a", start + 1_s));
}

TEST_CASE("target pool: the newest statement on a rate limit counts, whichever daemon received it")
{
    auto own = pool_with({target_named("a")});
    auto other = pool_with({target_named("a")});
    other.on_rate_limit("a", 3.5, start);
    own.on_peer_rate_limit(other.rate_limits(start + 100_ms).front(), start + 100_ms);
    REQUIRE(own.limit_of("a", start + 100_ms));
    own.on_rate_limit("a", std::nullopt, start + 200_ms);
    own.on_peer_rate_limit(other.rate_limits(start + 300_ms).front(), start + 300_ms);
    CHECK_FALSE(own.limit_of("a", start + 300_ms));
    other.on_peer_rate_limit(own.rate_limits(start + 400_ms).front(), start + 400_ms);
    CHECK_FALSE(other.limit_of("a", start + 400_ms));
}

TEST_CASE("target pool: a target without a permit is not chosen until one may be available")
{
    auto pool = pool_with({target_named("a")});
    pool.on_rate_limit("a", 3.5, start);
    pool.defer("a", start + 200_ms);
    CHECK(chosen(pool, start + 199_ms) == "none");
    CHECK(chosen(pool, start + 200_ms) == "a");
    pool.defer("a", start + 900_ms);
    pool.on_rate_limit("a", std::nullopt, start + 300_ms);
    CHECK(chosen(pool, start + 300_ms) == "a");
}

TEST_CASE("target pool: targets with a rate limit can be left out of the selection")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    pool.on_rate_limit("a", 3.5, start);
    pool.on_sent("b", start);
    target_criteria criteria{"m", "gent", {}, 1};
    CHECK(pool.choose(criteria, 0.5, start)->target.id == "a");
    criteria.excludes_limited = true;
    CHECK(pool.choose(criteria, 0.5, start)->target.id == "b");
}

TEST_CASE("target pool: a target with a rate limit counts as the part of a target that its limit is")
{
    auto pool = pool_with({target_named("a"), target_named("b"), target_named("c")});
    pool.on_rate_limit("a", 3.0, start);
    pool.on_rate_limit("b", 30.0, start);
    CHECK(pool.capacity("m", 12.0, start) == Approx(2.25));
}

TEST_CASE("target pool: only a target whose streams have all stalled is suspected")
{
    auto pool = pool_with({target_named("a"), target_named("b")});
    for (const auto* id : {"a", "b"}) {
        pool.on_sent(id, start);
        pool.on_response_started(id, start);
    }
    pool.on_progress("b", start + 300_ms);
    const auto suspects = pool.suspects(start + 320_ms);
    REQUIRE(suspects.size() == 1);
    CHECK(suspects[0].id == "a");
}

} // namespace coriander
