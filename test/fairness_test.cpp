#include "coriander/customer_rate_limiter.hpp"
#include "coriander/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <random>

namespace coriander {

TEST_CASE("fair queue: customers that wait are served in proportion to their weights")
{
    fair_queue<int> queue{1000};
    for (int i = 0; i < 300; ++i) {
        REQUIRE(queue.push("large", 1.0, i, 1_s));
        REQUIRE(queue.push("weighty", 3.0, i, 1_s));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 200; ++i) {
        ++served[queue.pop()->customer];
    }
    CHECK(served["weighty"] >= 148);
    CHECK(served["weighty"] <= 152);
}

TEST_CASE("fair queue: a small customer's request passes a large customer's backlog")
{
    fair_queue<int> queue{1000};
    for (int i = 0; i < 500; ++i) {
        REQUIRE(queue.push("large", 1.0, i, 1_s));
    }
    (void)queue.pop();
    REQUIRE(queue.push("small", 1.0, 7, 1_s));
    int turns = 1;
    while (queue.pop()->customer != "small") {
        ++turns;
    }
    CHECK(turns <= 2);
}

TEST_CASE("fair queue: the part of one customer is bounded")
{
    fair_queue<int> queue{2};
    CHECK(queue.push("gent", 1.0, 1, 1_s));
    CHECK(queue.push("gent", 1.0, 2, 1_s));
    CHECK_FALSE(queue.push("gent", 1.0, 3, 1_s));
    CHECK(queue.push("leuven", 1.0, 4, 1_s));
}

TEST_CASE("fair queue: each customer's items keep their order and none is lost or doubled")
{
    rc::prop("order within a customer", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        fair_queue<int> queue{1000};
        std::map<std::string, int> next_in;
        std::map<std::string, int> next_out;
        for (int step = 0; step < 300; ++step) {
            const auto customer = std::to_string(random() % 4);
            if (random() % 2 == 0) {
                RC_ASSERT(
                    queue.push(customer, 1.0 + static_cast<double>(random() % 3), next_in[customer]++, 1_s));
            }
            else if (auto item = queue.pop()) {
                RC_ASSERT(item->item == next_out[item->customer]++);
            }
        }
        std::size_t left = 0;
        for (const auto& [customer, count] : next_in) {
            left += static_cast<std::size_t>(count - next_out[customer]);
        }
        RC_ASSERT(queue.size() == left);
    });
}

TEST_CASE("customer rate limiter: the shares of routers that know the same demands add up to the whole limit")
{
    rc::prop("shares", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        const std::size_t routers = 1 + random() % 20;
        std::vector<double> demand(routers);
        double total = 0.0;
        for (auto& one : demand) {
            one = static_cast<double>(random() % 100);
            total += one;
        }
        double sum = 0.0;
        for (const double own : demand) {
            sum += limit_share(own, total - own, routers);
        }
        RC_ASSERT(std::abs(sum - 1.0) < 1e-9);
    });
}

namespace {

/// Sends one customer's requests through several gates for ten seconds. Returns how many passed.
int passed_in_ten_seconds(const std::vector<int>& requests_per_100_ms)
{
    const customer_rule customer{"gent", "", 1.0, 50.0};
    std::vector<customer_rate_limiter> gates(requests_per_100_ms.size());
    int passed = 0;
    time_ms now = 1_s;
    for (int tick = 0; tick < 200; ++tick, now = now + 100_ms) {
        if (tick % 10 == 0) {
            for (auto& gate : gates) {
                std::map<std::string, double> others;
                for (auto& other : gates) {
                    others["gent"] += &other == &gate ? 0.0 : other.own_demand(now)["gent"];
                }
                gate.set_demand_of_others(others, gates.size());
            }
        }
        for (std::size_t i = 0; i < gates.size(); ++i) {
            for (int request = 0; request < requests_per_100_ms[i]; ++request) {
                // The first ten seconds let the meters settle.
                passed += gates[i].try_acquire(customer, now) && tick >= 100 ? 1 : 0;
            }
        }
    }
    return passed;
}

} // namespace

TEST_CASE("customer rate limiter: a limit holds over all routers together, however the requests fall on them")
{
    constexpr int limit_in_ten_seconds = 500;
    for (const auto& spread :
         {std::vector<int>{40}, {10, 10, 10, 10}, {38, 1, 1, 0}, {5, 10, 20, 40, 5, 5, 5}}) {
        const int passed = passed_in_ten_seconds(spread);
        CAPTURE(spread);
        CHECK(passed <= limit_in_ten_seconds * 11 / 10);
        CHECK(passed >= limit_in_ten_seconds * 8 / 10);
    }
}

TEST_CASE("rate limiter: tells when the next request will pass")
{
    rate_limiter limiter{2.0, 1_s};
    CHECK(limiter.try_acquire(1_s));
    CHECK(limiter.try_acquire(1_s));
    CHECK_FALSE(limiter.try_acquire(1_s));
    CHECK(limiter.retry_after(1_s) == 500_ms);
    CHECK(limiter.try_acquire(1500_ms));
}

} // namespace coriander
