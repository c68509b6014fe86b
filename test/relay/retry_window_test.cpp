#include "coriander/relay/retry_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace coriander {

TEST_CASE("retry window: each daemon has its part of the allowance")
{
    retry_window alone{{0.0, 100.0, 10_s}};
    retry_window shared{{0.0, 100.0, 10_s}};
    int of_one = 0;
    int of_ten = 0;
    for (int i = 0; i < 200; ++i) {
        of_one += alone.try_retry(1_s, 1) ? 1 : 0;
        of_ten += shared.try_retry(1_s, 10) ? 1 : 0;
    }
    CHECK(of_one == 80);
    CHECK(of_ten == 8);
}

TEST_CASE("retry window: what is older than the window gives room again")
{
    retry_window window{{0.0, 10.0, 10_s}};
    while (window.try_retry(1_s, 1)) {
    }
    CHECK_FALSE(window.try_retry(10_s, 1));
    CHECK(window.try_retry(12_s, 1));
}

TEST_CASE("retry window: requests older than the window are forgotten although nothing is retried")
{
    retry_window window{{0.2, 10.0, 10_s}};
    for (int i = 0; i < 1000; ++i) {
        window.on_request(time_ms{100LL * i});
    }
    CHECK(window.remembered() <= 101);
}

TEST_CASE("retry window: all daemons together stay within the bound in any span of the window's length")
{
    rc::prop("random requests and retries over five daemons", []() {
        constexpr std::size_t daemons = 5;
        constexpr time_ms length = 10_s;
        const retry_window_settings bounds{0.2, 20.0, length};
        std::vector<retry_window> windows(daemons, retry_window{bounds});
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
            const auto in_span = [&](time_ms at) { return at > end - length && at <= end; };
            const auto sent = std::count_if(requests.begin(), requests.end(), in_span);
            const auto again = std::count_if(retries.begin(), retries.end(), in_span);
            // Each daemon may always send one.
            RC_ASSERT(static_cast<double>(again) <= 0.2 * static_cast<double>(sent) + 20.0 + daemons);
        }
    });
}

} // namespace coriander
