#include "coriander/relay/stall_detector.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

/// A watch of a replica that sent events on two streams every 50 ms for a while, last at `now`.
stall_detector busy_watch(time_ms& now)
{
    stall_detector watch;
    now = start;
    for (int stream = 0; stream < 2; ++stream) {
        watch.on_sent(now);
        watch.on_progress(now);
        watch.on_response_started();
    }
    for (int pass = 0; pass < 40; ++pass) {
        now = now + 50_ms;
        watch.on_progress(now);
        watch.on_progress(now);
    }
    return watch;
}

} // namespace

TEST_CASE("stall watch: a replica without requests is never suspected")
{
    const stall_detector watch;
    CHECK_FALSE(watch.is_suspect(start + 60_s));
}

TEST_CASE("stall watch: silence of a few usual gaps on all streams is suspicious")
{
    time_ms now;
    const auto watch = busy_watch(now);
    CHECK_FALSE(watch.is_suspect(now + 100_ms));
    CHECK(watch.is_suspect(now + 200_ms));
}

TEST_CASE("stall watch: one stream that goes on clears all")
{
    time_ms now;
    auto watch = busy_watch(now);
    watch.on_progress(now + 130_ms);
    CHECK_FALSE(watch.is_suspect(now + 200_ms));
}

TEST_CASE("stall watch: a replica that is slow by nature is given its time")
{
    stall_detector watch;
    auto now = start;
    watch.on_sent(now);
    watch.on_response_started();
    for (int pass = 0; pass < 80; ++pass) {
        now = now + 150_ms;
        watch.on_progress(now);
    }
    CHECK_FALSE(watch.is_suspect(now + 300_ms));
    CHECK(watch.is_suspect(now + 600_ms));
}

TEST_CASE("stall watch: before any stream has begun only a long silence counts")
{
    stall_detector watch;
    watch.on_sent(start);
    CHECK_FALSE(watch.is_suspect(start + 500_ms));
    CHECK(watch.is_suspect(start + 800_ms));
}

TEST_CASE("stall watch: silence counts from the first open request, not from the last one that ended")
{
    time_ms now;
    auto watch = busy_watch(now);
    watch.on_ended(true);
    watch.on_ended(true);
    watch.on_sent(now + 10_s);
    CHECK_FALSE(watch.is_suspect(now + 10_s + 100_ms));
}

TEST_CASE("stall watch: time in which this daemon itself stood still is forgiven")
{
    time_ms now;
    auto watch = busy_watch(now);
    watch.reset_silence(now + 3_s);
    CHECK_FALSE(watch.is_suspect(now + 3_s + 100_ms));
}

} // namespace coriander
