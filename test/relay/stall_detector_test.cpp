#include "coriander/relay/stall_detector.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

/// A detector for a replica that sent events on two streams every 50 ms, the last ones at `now`.
stall_detector busy_detector(time_ms& now)
{
    stall_detector detector;
    now = start;
    for (int stream = 0; stream < 2; ++stream) {
        detector.on_sent(now);
        detector.on_progress(now);
        detector.on_response_started();
    }
    for (int pass = 0; pass < 40; ++pass) {
        now = now + 50_ms;
        detector.on_progress(now);
        detector.on_progress(now);
    }
    return detector;
}

} // namespace

TEST_CASE("stall detector: a replica without requests is never suspected")
{
    const stall_detector detector;
    CHECK_FALSE(detector.is_suspect(start + 60_s));
}

TEST_CASE("stall detector: a replica is suspected after a silence of a few average gaps on all streams")
{
    time_ms now;
    const auto detector = busy_detector(now);
    CHECK_FALSE(detector.is_suspect(now + 100_ms));
    CHECK(detector.is_suspect(now + 200_ms));
}

TEST_CASE("stall detector: progress on one stream clears the suspicion")
{
    time_ms now;
    auto detector = busy_detector(now);
    detector.on_progress(now + 130_ms);
    CHECK_FALSE(detector.is_suspect(now + 200_ms));
}

TEST_CASE("stall detector: the threshold adapts to a replica with longer gaps")
{
    stall_detector detector;
    auto now = start;
    detector.on_sent(now);
    detector.on_response_started();
    for (int pass = 0; pass < 80; ++pass) {
        now = now + 150_ms;
        detector.on_progress(now);
    }
    CHECK_FALSE(detector.is_suspect(now + 300_ms));
    CHECK(detector.is_suspect(now + 600_ms));
}

TEST_CASE("stall detector: until a stream has started only a long silence is suspicious")
{
    stall_detector detector;
    detector.on_sent(start);
    CHECK_FALSE(detector.is_suspect(start + 500_ms));
    CHECK(detector.is_suspect(start + 800_ms));
}

TEST_CASE("stall detector: silence is measured from the first open request, not from the last one that ended")
{
    time_ms now;
    auto detector = busy_detector(now);
    detector.on_ended(true);
    detector.on_ended(true);
    detector.on_sent(now + 10_s);
    CHECK_FALSE(detector.is_suspect(now + 10_s + 100_ms));
}

TEST_CASE("stall detector: silence while this daemon itself was stalled is not counted")
{
    time_ms now;
    auto detector = busy_detector(now);
    detector.reset_silence(now + 3_s);
    CHECK_FALSE(detector.is_suspect(now + 3_s + 100_ms));
}

} // namespace coriander
