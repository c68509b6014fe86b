#include "gateway/standstill_watch.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;

} // namespace

TEST_CASE("standstill watch: messages are of unknown age for a while after a gap, and only then")
{
    standstill_watch watch;
    CHECK_FALSE(watch.has_just_resumed(start));
    watch.on_activity(start); // The first activity follows no gap.
    CHECK_FALSE(watch.has_just_resumed(start));
    watch.on_activity(start + 800_ms);
    CHECK_FALSE(watch.has_just_resumed(start + 800_ms));
    watch.on_activity(start + 5_s);
    watch.on_activity(start + 5_s + 100_ms);
    CHECK(watch.has_just_resumed(start + 5_s + 799_ms));
    CHECK_FALSE(watch.has_just_resumed(start + 5_s + 800_ms));
}

} // namespace coriander
