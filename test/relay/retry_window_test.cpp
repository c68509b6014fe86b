#include "coriander/relay/retry_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace coriander {

TEST_CASE("retry window: each daemon gets an equal share of the allowance")
{
    retry_window alone{{0.0, 100.0, 10_s}};
    retry_window shared{{0.0, 100.0, 10_s}};
    int retries_alone = 0;
    int retries_shared = 0;
    for (int i = 0; i < 200; ++i) {
        retries_alone += alone.try_retry(1_s, 1) ? 1 : 0;
        retries_shared += shared.try_retry(1_s, 10) ? 1 : 0;
    }
    CHECK(retries_alone == 80);
    CHECK(retries_shared == 8);
}

TEST_CASE("retry window: retries older than the window no longer count")
{
    retry_window window{{0.0, 10.0, 10_s}};
    while (window.try_retry(1_s, 1)) {
    }
    CHECK_FALSE(window.try_retry(10_s, 1));
    CHECK(window.try_retry(12_s, 1));
}

TEST_CASE("retry window: requests older than the window are discarded even without retries")
{
    retry_window window{{0.2, 10.0, 10_s}};
    for (int i = 0; i < 1000; ++i) {
        window.on_request(time_ms{100LL * i});
    }
    CHECK(window.stored_count() <= 101);
}

TEST_CASE("retry window: all daemons together stay within the limit over any window")
{
    rc::prop("random requests and retries over five daemons", []() {
        constexpr std::size_t daemons = 5;
        constexpr time_ms window_length = 10_s;
        const retry_window_settings limits{0.2, 20.0, window_length};
        std::vector<retry_window> windows(daemons, retry_window{limits});
        std::vector<time_ms> requests;
        std::vector<time_ms> retries;
        time_ms now = 100_s;
        for (int i = 0; i < 400; ++i) {
            now = now + time_ms{*rc::gen::inRange(0, 150)};
            auto& window = windows[*rc::gen::inRange<std::size_t>(0, daemons)];
            if (*rc::gen::inRange(0, 3) > 0) {
                window.on_request(now);
                requests.push_back(now);
            }
            else if (window.try_retry(now, daemons)) {
                retries.push_back(now);
            }
        }
        for (const auto end : retries) {
            const auto is_in_window = [&](time_ms at) { return at > end - window_length && at <= end; };
            const auto request_count = std::count_if(requests.begin(), requests.end(), is_in_window);
            const auto retry_count = std::count_if(retries.begin(), retries.end(), is_in_window);
            // Each daemon may always send one retry.
            RC_ASSERT(static_cast<double>(retry_count) <=
                      0.2 * static_cast<double>(request_count) + 20.0 + daemons);
        }
    });
}

} // namespace coriander
