#include "gateway/manifest_queue.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 100_s;

} // namespace

TEST_CASE("manifest queue: a manifest that is replaced before it is in force is never put in force")
{
    manifest_queue queue;
    unsigned applied = 0;
    std::string last;
    // After an outage: 120 versions arrive at once, and each takes a small machine 26 ms.
    for (int version = 1; version <= 120; ++version) {
        queue.on_table("version " + std::to_string(version), start);
    }
    auto now = start;
    for (; queue.has_next(); now = now + 26_ms) {
        if (const auto next = queue.take(0, now)) {
            ++applied;
            last = next->text;
            queue.on_applied(now, now + 26_ms);
        }
    }
    CHECK(applied == 1);
    CHECK(last == "version 120");
    CHECK(queue.take_skipped() == 119);
    CHECK(now - start < 250_ms);
}

TEST_CASE("manifest queue: a series of manifests leaves four fifths of the time to requests")
{
    manifest_queue queue;
    time_ms spent;
    auto now = start;
    for (int step = 0; step < 1000; ++step, now = now + 10_ms) {
        queue.on_table("version " + std::to_string(step), now);
        if (queue.take(0, now)) {
            queue.on_applied(now, now + 50_ms);
            spent = spent + 50_ms;
            now = now + 50_ms;
        }
    }
    CHECK(spent * 4 <= now - start);
    CHECK(spent > 0_ms);
}

TEST_CASE("manifest queue: a rest is shorter than a manifest may take to come into force")
{
    manifest_queue queue;
    queue.on_table("1", start);
    REQUIRE(queue.take(0, start));
    queue.on_applied(start, start + 1500_ms);
    queue.on_table("2", start + 1500_ms);
    CHECK_FALSE(queue.take(1, start + 1600_ms));
    CHECK(queue.take(1, start + 1900_ms));
}

TEST_CASE("manifest queue: a peer's manifest that is no newer is ignored")
{
    manifest_queue queue;
    queue.on_peer(7, "seven", 7, start);
    CHECK_FALSE(queue.has_next());
    queue.on_peer(9, "nine", 7, start);
    queue.on_peer(8, "eight", 7, start);
    const auto next = queue.take(7, start);
    REQUIRE(next);
    CHECK(next->text == "nine");
    CHECK(next->version == 9);
    CHECK_FALSE(queue.has_next());
}

TEST_CASE("manifest queue: the table's manifest comes first, and then a peer's only if it is newer")
{
    manifest_queue queue;
    queue.on_peer(9, "of a peer", 7, start);
    queue.on_table("of the table", start);
    CHECK(queue.take(7, start)->source == manifest_source::table);
    CHECK_FALSE(queue.take(9, start));
    CHECK_FALSE(queue.has_next());
}

} // namespace coriander
