#include "coriander/shard_lease.hpp"

#include "support/faulty_table.hpp"
#include "support/manual_clock.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <memory>
#include <random>

namespace coriander {
namespace {

using lease = shard_lease<faulty_table, manual_clock>;

struct two_controllers {
    platform_table rows;
    faulty_table table{rows};
    manual_clock first_clock;
    manual_clock second_clock{7_s}; // The clocks of two hosts are unrelated.
    lease first{table, first_clock, "gent", "entry-1@1"};
    lease second{table, second_clock, "gent", "entry-2@1"};

    void advance(time_ms length)
    {
        this->first_clock.advance(length);
        this->second_clock.advance(length);
    }
};

} // namespace

TEST_CASE("shard lease: only one of two controllers holds it")
{
    two_controllers both;
    CHECK(both.first.try_hold());
    CHECK_FALSE(both.second.try_hold());
}

TEST_CASE("shard lease: a renewed lease is not taken over")
{
    two_controllers both;
    for (int i = 0; i < 20; ++i) {
        CHECK(both.first.try_hold());
        CHECK_FALSE(both.second.try_hold());
        both.advance(1_s);
    }
}

TEST_CASE("shard lease: a lease that was renewed recently is not renewed again")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    const int commits_before = both.table.commits;
    both.advance(1_s);
    CHECK(both.first.try_hold());
    CHECK(both.table.commits == commits_before);
    both.advance(1_s);
    CHECK(both.first.try_hold());
    CHECK(both.table.commits == commits_before + 1);
}

TEST_CASE("shard lease: the lease of a paused holder expires before another controller can take it over")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    CHECK_FALSE(both.second.try_hold());
    both.advance(5_s);
    CHECK_FALSE(both.first.may_order(0_ms));
    CHECK_FALSE(both.second.try_hold()); // The takeover margin has not passed.
    both.advance(2_s);
    CHECK(both.second.try_hold());
    CHECK(both.second.fence() == 2);
    CHECK_FALSE(both.first.try_hold());
}

TEST_CASE("shard lease: no order is allowed that could take effect after the lease expires")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    both.advance(4500_ms);
    CHECK(both.first.may_order(400_ms));
    CHECK_FALSE(both.first.may_order(1_s));
}

TEST_CASE("shard lease: a released lease can be acquired at once, with a higher fencing number")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    both.first.release();
    CHECK(both.second.try_hold());
    CHECK(both.second.fence() == 2);
    CHECK_FALSE(both.first.may_order(0_ms));
}

TEST_CASE("shard lease: writes committed with the renewal fail once another controller holds the shard")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    const std::array<table_write, 2> transaction{table_write{"replicas/a/0", 0, "from the first controller"},
                                                 both.first.renewal()};
    both.advance(7_s);
    (void)both.second.try_hold();
    both.advance(7_s);
    REQUIRE(both.second.try_hold());
    CHECK(both.table.commit(transaction).state == commit_state::conflict);
}

TEST_CASE("shard lease: a renewal whose response was lost does not extend the lease for its holder")
{
    two_controllers both;
    REQUIRE(both.first.try_hold());
    both.advance(3_s);
    both.table.faults = {commit_fault::answer_lost};
    CHECK(both.first.try_hold());
    CHECK(both.first.remaining() == 2_s);
}

TEST_CASE(
    "shard lease: over random pauses, faults and clocks no two controllers may send orders at the same time")
{
    rc::prop("one holder at a time, increasing fencing numbers", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        platform_table rows;
        constexpr int count = 3;
        std::vector<std::unique_ptr<faulty_table>> tables;
        std::vector<std::unique_ptr<manual_clock>> clocks;
        std::vector<std::unique_ptr<lease>> leases;
        for (int i = 0; i < count; ++i) {
            tables.push_back(std::make_unique<faulty_table>(rows));
            clocks.push_back(
                std::make_unique<manual_clock>(time_ms{static_cast<std::int64_t>(random() % 100'000)}));
            leases.push_back(
                std::make_unique<lease>(*tables[i], *clocks[i], "gent", "entry-" + std::to_string(i) + "@1"));
        }
        std::uint64_t highest = 0;
        for (int step = 0; step < 300; ++step) {
            const time_ms length{static_cast<std::int64_t>(random() % 900)};
            for (auto& clock : clocks) {
                clock->advance(length);
            }
            const auto acting = random() % count; // The others are paused in this step.
            tables[acting]->faults = {static_cast<commit_fault>(random() % 5)};
            (void)leases[acting]->try_hold();
            tables[acting]->faults.clear();
            if (random() % 10 == 0) {
                tables[random() % count]->apply_late_commits();
            }
            if (random() % 20 == 0) {
                leases[acting]->release();
            }
            int allowed = 0;
            for (auto& controller_lease : leases) {
                if (controller_lease->may_order(0_ms)) {
                    ++allowed;
                    RC_ASSERT(controller_lease->fence() >= highest);
                    highest = controller_lease->fence();
                }
            }
            RC_ASSERT(allowed <= 1);
        }
    });
}

} // namespace coriander
