#include "coriander/relay/emptied_domains.hpp"
#include "coriander/relay/target_pool.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

emptied_domain_report report_of(bool is_emptied, std::uint64_t version, time_ms age = {},
                                const std::string& domain = "gent")
{
    return {domain, {1, version}, is_emptied, age};
}

relay_target target_in(const std::string& id, const std::string& domain)
{
    return {id, id + "-leader", "127.0.0.1:1", domain, "m", 1, 26, 1.0};
}

/// How many of `draws` choices go to each failure domain.
std::map<std::string, int> choices_by_domain(const target_pool& pool, int draws, time_ms now)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < draws; ++i) {
        const double noise = (i + 0.5) / draws;
        const auto choice = pool.choose({"m", "gent", {}, 90}, noise, now);
        ++counts[choice ? choice->target.failure_domain : "none"];
    }
    return counts;
}

} // namespace

TEST_CASE(
    "emptied domains: the share of an emptied domain falls to zero, and rises again once it is taken back")
{
    emptied_domains domains;
    CHECK(domains.share("gent", start) == 1.0);
    CHECK(domains.on_report(report_of(true, 5), start));
    CHECK(domains.is_emptied("gent"));
    CHECK(domains.share("gent", start + 1250_ms) == Approx(0.5));
    CHECK(domains.share("gent", start + 2500_ms) == 0.0);
    CHECK(domains.share("leuven", start + 2500_ms) == 1.0);
    CHECK(domains.on_report(report_of(false, 6), start + 10_s));
    CHECK_FALSE(domains.is_emptied("gent"));
    CHECK_FALSE(domains.has_emptied());
    CHECK(domains.share("gent", start + 11_s) == Approx(0.25));
    CHECK(domains.share("gent", start + 14_s) == 1.0);
}

TEST_CASE("emptied domains: a request that is known late takes effect as early as elsewhere")
{
    emptied_domains domains;
    SECTION("with its age")
    {
        domains.on_report(report_of(true, 5, 2_s), start);
        CHECK(domains.share("gent", start + 500_ms) == 0.0);
    }
    SECTION("with a second report that is older than the first one seemed")
    {
        domains.on_report(report_of(true, 5), start);
        CHECK_FALSE(domains.on_report(report_of(true, 5, 2500_ms), start + 100_ms));
        CHECK(domains.share("gent", start + 100_ms) == 0.0);
    }
}

TEST_CASE("emptied domains: a report that is older than the known one changes nothing")
{
    emptied_domains domains;
    domains.on_report(report_of(true, 5), start);
    domains.on_report(report_of(false, 6), start + 1_s);
    CHECK_FALSE(domains.on_report(report_of(true, 5, 9_s), start + 2_s));
    CHECK_FALSE(domains.is_emptied("gent"));
    SECTION("but one of a restored store counts, whatever its number")
    {
        CHECK(domains.on_report({"gent", {2, 3}, true, {}}, start + 2_s));
        CHECK(domains.is_emptied("gent"));
    }
}

TEST_CASE("emptied domains: a domain that is emptied again while it returns starts from the share reached")
{
    emptied_domains domains;
    domains.on_report(report_of(true, 5, 3_s), start);
    domains.on_report(report_of(false, 6), start);
    CHECK(domains.share("gent", start + 2_s) == Approx(0.5));
    domains.on_report(report_of(true, 7), start + 2_s);
    CHECK(domains.share("gent", start + 2_s) == Approx(0.5));
    CHECK(domains.share("gent", start + 3250_ms) == 0.0);
}

TEST_CASE("emptied domains: what is passed on keeps its age, and ends a minute after the return")
{
    emptied_domains domains;
    domains.on_report(report_of(true, 5, {}, "gent"), start);
    domains.on_report(report_of(true, 6, {}, "leuven"), start);
    domains.on_report(report_of(false, 7, {}, "leuven"), start + 1_s);
    const auto reports = domains.reports(start + 2_s);
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].age == 2_s);
    CHECK(reports[1].age == 1_s);
    const auto later = domains.reports(start + 120_s);
    REQUIRE(later.size() == 1);
    CHECK(later[0].domain == "gent");
}

TEST_CASE("emptied domains: the number of domains that are kept is bounded")
{
    emptied_domains domains;
    for (std::size_t i = 0; i < emptied_domains::max_domains + 10; ++i) {
        domains.on_report({"d" + std::to_string(i), {1, i + 1}, true, {}}, start);
    }
    CHECK(domains.shares(start).size() == emptied_domains::max_domains);
    CHECK(domains.reports(start).size() == emptied_domains::max_reports);
}

TEST_CASE(
    "emptied domains: daemons that hear the same reports in any order, some of them late or twice, agree")
{
    rc::prop("the state follows from the newest version alone", [] {
        const auto count = *rc::gen::inRange(1, 8);
        std::vector<emptied_domain_report> all;
        for (int i = 1; i <= count; ++i) {
            all.push_back(report_of(*rc::gen::arbitrary<bool>(), static_cast<std::uint64_t>(i)));
        }
        emptied_domains in_order;
        for (const auto& one : all) {
            in_order.on_report(one, start);
        }
        emptied_domains other;
        const auto heard = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
        for (const auto i : heard) {
            other.on_report(all.at(static_cast<std::size_t>(i)), start);
        }
        other.on_report(all.back(), start);
        RC_ASSERT(in_order.is_emptied("gent") == other.is_emptied("gent"));
        RC_ASSERT(in_order.share("gent", start + 10_s) == other.share("gent", start + 10_s));
    });
}

TEST_CASE("target pool: an emptied failure domain gets its share of the requests, then none")
{
    emptied_domains domains;
    target_pool pool;
    pool.observe(domains);
    pool.set_targets(std::vector{target_in("a", "gent"), target_in("b", "gent"), target_in("c", "leuven")});
    constexpr int draws = 400;
    CHECK(choices_by_domain(pool, draws, start)["gent"] > draws / 2);
    domains.on_report(report_of(true, 5), start);
    const auto halfway = choices_by_domain(pool, draws, start + 1250_ms);
    CHECK(halfway.at("gent") > draws / 10);
    CHECK(halfway.at("gent") < draws / 2);
    CHECK(choices_by_domain(pool, draws, start + 2500_ms)["leuven"] == draws);
    CHECK(pool.count("m", start + 2500_ms) == 1);
    CHECK(pool.capacity("m", 1.0, start + 1250_ms) == Approx(2.0));
}

TEST_CASE("target pool: without a target elsewhere, an emptied domain serves until its share is zero")
{
    emptied_domains domains;
    target_pool pool;
    pool.observe(domains);
    pool.set_targets(std::vector{target_in("a", "gent")});
    domains.on_report(report_of(true, 5), start);
    CHECK(choices_by_domain(pool, 50, start + 2_s)["gent"] == 50);
    CHECK(choices_by_domain(pool, 50, start + 3_s)["none"] == 50);
}

TEST_CASE("target pool: a replica with a host in an emptied domain gets nothing")
{
    emptied_domains domains;
    target_pool pool;
    pool.observe(domains);
    auto spanning = target_in("a", "leuven");
    spanning.further_domains = {"gent"};
    pool.set_targets(std::vector{spanning, target_in("b", "leuven")});
    domains.on_report(report_of(true, 5, 3_s), start);
    CHECK(pool.choose({"m", "leuven", {}, 90}, 0.5, start)->target.id == "b");
    CHECK_FALSE(pool.may_send(spanning, start));
}

TEST_CASE("target pool: a request that was chosen before the domain was empty may not be sent after")
{
    emptied_domains domains;
    target_pool pool;
    pool.observe(domains);
    const auto target = target_in("a", "gent");
    pool.set_targets(std::vector{target});
    domains.on_report(report_of(true, 5), start);
    CHECK(pool.may_send(target, start + 2400_ms));
    CHECK_FALSE(pool.may_send(target, start + 2500_ms));
}

} // namespace coriander
