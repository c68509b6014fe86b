#include "coriander/poll_backoff.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("poll backoff: rejected polls are repeated at growing intervals")
{
    CHECK(delay_after_failed_poll(0, 0_ms) == 100_ms);
    CHECK(delay_after_failed_poll(2, 5_ms) == 395_ms);
    CHECK(delay_after_failed_poll(4, 0_ms) == 1000_ms);
    CHECK(delay_after_failed_poll(1000, 0_ms) == 1000_ms);
}

// Guards against a store's return being noticed later the longer it was away.
TEST_CASE("poll backoff: a poll that was not answered within its time limit is repeated at once")
{
    CHECK(delay_after_failed_poll(0, 1200_ms) == 0_ms);
    CHECK(delay_after_failed_poll(1000, 1200_ms) == 0_ms);
}

} // namespace coriander
