#include "coriander/relay/permit_issuer.hpp"
#include "coriander/relay/target_pool.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

// Targets whose hosts are cold: they get requests with permits only, at a rate that all daemons share.
namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr double cold_rate = 17.0;
/// What a cold host may get in any second: 1.5 times its rate and 5 more, as the deployments state.
constexpr double max_in_a_second = 1.5 * cold_rate + 5.0;

relay_target cold_target(const std::string& id, time_ms cold_until)
{
    relay_target target{id, id + "-leader", "127.0.0.1:1", "gent", "m", 1, 20, 1.0, 7};
    target.cold_until = cold_until;
    target.cold_rate = cold_rate;
    return target;
}

/// The largest number of times within one second.
std::size_t most_in_a_second(std::vector<time_ms> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] >= 1_s) {
            ++first;
        }
        most = std::max(most, i + 1 - first);
    }
    return most;
}

} // namespace

TEST_CASE("target pool: a target is limited while its host is cold, and no longer")
{
    target_pool pool;
    pool.set_targets(std::vector{cold_target("a", start + 3_s), cold_target("b", start)});
    const auto limit = pool.limit_of("a", start);
    REQUIRE(limit);
    CHECK(limit->per_second < cold_rate);
    CHECK_FALSE(pool.limit_of("b", start));
    CHECK_FALSE(pool.limit_of("a", start + 3_s));
    CHECK(pool.count_cold(start) == 1);
    CHECK(pool.capacity("m", 2 * limit->per_second, start) == Approx(1.5));
    // What follows from the list is not passed on as a statement of the target.
    CHECK(pool.rate_limits(start).empty());
}

TEST_CASE("target pool: of a stated limit and a cold one, the lower counts")
{
    target_pool pool;
    pool.set_targets(std::vector{cold_target("a", start + 3_s)});
    pool.on_rate_limit("a", 3.5, start);
    CHECK(pool.limit_of("a", start)->per_second == Approx(3.5));
    pool.on_rate_limit("a", 100.0, start);
    CHECK(pool.limit_of("a", start)->per_second < cold_rate);
}

TEST_CASE("target pool: a host is limited as cold by the same key whatever replica it leads")
{
    target_pool pool;
    auto target = cold_target("a", start + 3_s);
    pool.set_targets(std::vector{target});
    const auto before = pool.limit_of("a", start)->target;
    target.id = "b";
    target.generation = 2;
    pool.set_targets(std::vector{target});
    CHECK(pool.limit_of("b", start)->target == before);
    target.incarnation = 8;
    pool.set_targets(std::vector{target});
    CHECK(pool.limit_of("b", start)->target != before);
}

TEST_CASE("cold target: ninety daemons send at most what it bears in any second, with late and lost answers")
{
    rc::prop("the bound holds while one issuer takes over from another", [] {
        constexpr std::size_t daemons = 90;
        constexpr std::size_t asks_per_daemon = 40;
        target_pool pool;
        pool.set_targets(std::vector{cold_target("a", start + 60_s)});
        const auto limit = *pool.limit_of("a", start);
        std::mt19937 random{*rc::gen::arbitrary<unsigned>()};
        const auto draw = [&](int below) {
            return time_ms{std::uniform_int_distribution<std::int64_t>{0, below - 1}(random)};
        };
        const time_ms takeover = start + 500_ms + draw(4000);
        struct ask {
            time_ms at;
            time_ms way;
            bool is_lost;
        };
        std::vector<ask> asks;
        asks.reserve(daemons * asks_per_daemon);
        for (std::size_t i = 0; i < daemons * asks_per_daemon; ++i) {
            asks.push_back({start + draw(5000), draw(50), draw(10) == 0_ms});
        }
        std::sort(asks.begin(), asks.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        permit_issuer first;
        permit_issuer second;
        std::vector<time_ms> arrivals;
        for (const auto& one : asks) {
            auto& issuer = one.at < takeover ? first : second;
            const bool is_granted = issuer.decide(limit, one.at).is_granted;
            if (is_granted && !one.is_lost) {
                arrivals.push_back(one.at + one.way);
            }
        }
        RC_ASSERT(static_cast<double>(most_in_a_second(arrivals)) <= max_in_a_second);
        RC_ASSERT(arrivals.size() > 30U);
    });
}

} // namespace coriander
