#include "coriander/customer_rate_limiter.hpp"
#include "coriander/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <random>

namespace coriander {

TEST_CASE("fair queue: customers with queued items are served in proportion to their weights")
{
    fair_queue<int> queue{1000};
    for (int i = 0; i < 300; ++i) {
        REQUIRE(queue.push("large", 1.0, i, 1_s));
        REQUIRE(queue.push("heavy", 3.0, i, 1_s));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 200; ++i) {
        ++served[queue.pop()->customer];
    }
    CHECK(served["heavy"] >= 148);
    CHECK(served["heavy"] <= 152);
}

TEST_CASE("fair queue: a small customer's request overtakes a large customer's backlog")
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

TEST_CASE("fair queue: the number of queued items per customer is bounded")
{
    fair_queue<int> queue{2};
    CHECK(queue.push("gent", 1.0, 1, 1_s));
    CHECK(queue.push("gent", 1.0, 2, 1_s));
    CHECK_FALSE(queue.push("gent", 1.0, 3, 1_s));
    CHECK(queue.push("leuven", 1.0, 4, 1_s));
}

TEST_CASE("fair queue: each customer's items keep their order and none is lost or duplicated")
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
        for (auto& router_demand : demand) {
            router_demand = static_cast<double>(random() % 100);
            total += router_demand;
        }
        double sum = 0.0;
        for (const double own : demand) {
            sum += limit_share(own, total - own, routers);
        }
        RC_ASSERT(std::abs(sum - 1.0) < 1e-9);
    });
}

namespace {

/// Sends one customer's requests to several limiters. Returns how many are admitted within ten seconds.
int admitted_in_ten_seconds(const std::vector<int>& requests_per_100_ms)
{
    const customer_rule customer{"gent", "", 1.0, 50.0};
    std::vector<customer_rate_limiter> limiters(requests_per_100_ms.size());
    int admitted = 0;
    time_ms now = 1_s;
    for (int tick = 0; tick < 200; ++tick, now = now + 100_ms) {
        if (tick % 10 == 0) {
            for (auto& limiter : limiters) {
                std::map<std::string, double> others;
                for (auto& other : limiters) {
                    others["gent"] += &other == &limiter ? 0.0 : other.own_demand(now)["gent"];
                }
                limiter.set_demand_of_others(others, limiters.size());
            }
        }
        for (std::size_t i = 0; i < limiters.size(); ++i) {
            for (int request = 0; request < requests_per_100_ms[i]; ++request) {
                // The first ten seconds are warm-up for the demand meters.
                admitted += limiters[i].try_acquire(customer, now) && tick >= 100 ? 1 : 0;
            }
        }
    }
    return admitted;
}

} // namespace

TEST_CASE("customer rate limiter: a limit holds over all routers together, for any distribution of requests")
{
    constexpr int limit_in_ten_seconds = 500;
    for (const auto& distribution :
         {std::vector<int>{40}, {10, 10, 10, 10}, {38, 1, 1, 0}, {5, 10, 20, 40, 5, 5, 5}}) {
        const int admitted = admitted_in_ten_seconds(distribution);
        CAPTURE(distribution);
        CHECK(admitted <= limit_in_ten_seconds * 11 / 10);
        CHECK(admitted >= limit_in_ten_seconds * 8 / 10);
    }
}

TEST_CASE("rate limiter: returns when the next request will be admitted")
{
    rate_limiter limiter{2.0, 1_s};
    CHECK(limiter.try_acquire(1_s));
    CHECK(limiter.try_acquire(1_s));
    CHECK_FALSE(limiter.try_acquire(1_s));
    CHECK(limiter.retry_after(1_s) == 500_ms);
    CHECK(limiter.try_acquire(1500_ms));
}

} // namespace coriander
