#include "coriander/relay/customer_shares.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr std::uint64_t loud = 1;
constexpr std::uint64_t quiet = 2;
constexpr std::uint64_t other = 3;

void ask(customer_shares& shares, std::uint64_t customer, int times)
{
    for (int i = 0; i < times; ++i) {
        shares.on_request(customer, start);
    }
}

void grant(customer_shares& shares, int times)
{
    for (int i = 0; i < times; ++i) {
        shares.on_granted(start);
    }
}

} // namespace

TEST_CASE("customer shares: while all get what they ask for, everything fits")
{
    customer_shares shares;
    ask(shares, loud, 30);
    ask(shares, quiet, 2);
    grant(shares, 32);
    CHECK(shares.fitting_part(loud, 1.0, start) == 1.0);
    CHECK(shares.fitting_part(quiet, 1.0, start) == 1.0);
}

TEST_CASE(
    "customer shares: one that asks for no more than its share gets all, and what it leaves goes to others")
{
    customer_shares shares;
    ask(shares, loud, 40);
    ask(shares, quiet, 5);
    ask(shares, other, 15);
    grant(shares, 30);
    CHECK(shares.fitting_part(quiet, 1.0, start) == 1.0);
    // 25 are left for two: 12.5 each.
    CHECK(shares.fitting_part(other, 1.0, start) == Approx(13.5 / 15.0));
    CHECK(shares.fitting_part(loud, 1.0, start) == Approx(13.5 / 40.0));
    CHECK(shares.fitting_part(99, 1.0, start) == 1.0);
    // With room for twice as much, all fits.
    CHECK(shares.fitting_part(loud, 2.0, start) == 1.0);
}

TEST_CASE("customer shares: what was asked for long ago does not count")
{
    customer_shares shares;
    ask(shares, loud, 40);
    ask(shares, quiet, 5);
    grant(shares, 10);
    REQUIRE(shares.fitting_part(loud, 1.0, start) < 0.5);
    CHECK(shares.fitting_part(loud, 1.0, start + 20_s) == 1.0);
}

TEST_CASE("customer shares: the number of customers that are kept is bounded")
{
    customer_shares shares;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        shares.on_request(i, start);
    }
    CHECK(shares.fitting_part(4999, 1.0, start) <= 1.0);
}

} // namespace coriander
