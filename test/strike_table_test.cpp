#include "coriander/outlier_tracker.hpp"
#include "coriander/strike_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

namespace coriander {

TEST_CASE("strike table: a death while several requests run makes them suspects and refuses none")
{
    strike_table table;
    for (int i = 0; i < 5; ++i) {
        table.on_target_death({"poison", "innocent"}, false, 1_s);
    }
    CHECK(table.classify("innocent", 2_s) == strike_verdict::suspect);
    CHECK(table.classify("other", 2_s) == strike_verdict::clear);
}

TEST_CASE("strike table: deaths reported by other routers count")
{
    strike_table first;
    strike_table second;
    first.on_target_death({"poison"}, false, 1_s);
    first.on_target_death({"poison"}, true, 2_s);
    first.on_target_death({"poison"}, true, 3_s);
    for (const auto& report : first.recent(10, 4_s)) {
        second.merge(report, 4_s);
    }
    CHECK(second.classify("poison", 4_s) == strike_verdict::refused);
}

TEST_CASE("strike table: an outdated report does not make a cleared request a suspect again")
{
    strike_table first;
    strike_table second;
    first.on_target_death({"innocent"}, false, 1_s);
    const auto old_reports = first.recent(10, 1_s);
    second.merge(old_reports.front(), 2_s);
    second.on_success("innocent", 3_s);
    second.merge(old_reports.front(), 4_s);
    CHECK(second.classify("innocent", 4_s) == strike_verdict::clear);
    first.merge(second.recent(10, 4_s).front(), 5_s);
    CHECK(first.classify("innocent", 5_s) == strike_verdict::clear);
}

TEST_CASE("strike table: a history expires")
{
    strike_table table;
    table.on_target_death({"poison"}, true, 1_s);
    table.on_target_death({"poison"}, true, 1_s);
    CHECK(table.classify("poison", 2_s) == strike_verdict::refused);
    CHECK(table.classify("poison", 1000_s) == strike_verdict::clear);
}

TEST_CASE("outlier tracker: at least two thirds of the targets are never ejected")
{
    rc::prop("at least two thirds stay", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        outlier_tracker tracker;
        time_ms now = 1_s;
        const std::size_t count = 1 + random() % 9;
        for (int i = 0; i < 300; ++i) {
            const auto target = std::to_string(random() % count);
            if (random() % 3 != 0) {
                tracker.on_failure(target, now);
            }
            else {
                tracker.on_success(target, time_ms{static_cast<std::int64_t>(random() % 500)}, now);
            }
            now = now + 10_ms;
            std::size_t ejected = 0;
            for (std::size_t j = 0; j < count; ++j) {
                ejected += tracker.is_ejected(std::to_string(j), now) ? 1 : 0;
            }
            RC_ASSERT(static_cast<double>(ejected) <= 0.34 * static_cast<double>(count));
        }
    });
}

TEST_CASE("outlier tracker: a slow target is ejected and returns after the ejection")
{
    outlier_tracker tracker;
    time_ms now = 1_s;
    for (int i = 0; i < 20; ++i, now = now + 100_ms) {
        for (const auto* target : {"a", "b", "c", "d"}) {
            tracker.on_success(target, *target == 'd' ? 900_ms : 60_ms, now);
        }
    }
    CHECK(tracker.is_ejected("d", now));
    CHECK_FALSE(tracker.is_ejected("a", now));
    CHECK_FALSE(tracker.is_ejected("d", now + 10_s));
}

} // namespace coriander
