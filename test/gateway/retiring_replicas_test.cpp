#include "gateway/retiring_replicas.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// The state of a stream that moves at this check.
retiring_state moving_stream()
{
    return {2_s, 25_ms, 3, 4.5, 0.0};
}

} // namespace

TEST_CASE("retiring replicas: streams move off a replica whose hosts are needed for a new one")
{
    CHECK(should_move(moving_stream()));
}

TEST_CASE("retiring replicas: streams stay while the other replicas are sufficient for the demand")
{
    auto stream = moving_stream();
    stream.targets = 5;
    CHECK_FALSE(should_move(stream));
}

TEST_CASE("retiring replicas: streams have a grace period to end before they move")
{
    auto stream = moving_stream();
    stream.retiring_for = 100_ms;
    CHECK_FALSE(should_move(stream));
}

TEST_CASE("retiring replicas: streams do not all move at once")
{
    auto stream = moving_stream();
    std::size_t moved = 0;
    for (int i = 0; i < 100; ++i) {
        stream.random = i / 100.0;
        moved += should_move(stream) ? 1 : 0;
    }
    CHECK(moved > 0);
    CHECK(moved <= 10);
}

} // namespace coriander
