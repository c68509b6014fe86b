#include "coriander/relay/permit_issuer.hpp"

#include "support/printers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;

rate_limit limit_of(double per_second)
{
    return {7, per_second, {}};
}

} // namespace

TEST_CASE("permit issuer: permits of all daemons together keep to the rate")
{
    permit_issuer issuer;
    unsigned granted = 0;
    for (time_ms now = start; now < start + 20_s; now = now + 1_ms) {
        granted += issuer.decide(limit_of(5.0), now).is_granted ? 1 : 0;
    }
    CHECK(granted >= 97);
    CHECK(granted <= 100);
}

TEST_CASE("permit issuer: a new issuer has one permit and none saved")
{
    permit_issuer issuer;
    CHECK(issuer.decide(limit_of(5.0), start).is_granted);
    CHECK_FALSE(issuer.decide(limit_of(5.0), start).is_granted);
}

TEST_CASE("permit issuer: permits are saved for half a second only")
{
    permit_issuer issuer;
    (void)issuer.decide(limit_of(10.0), start);
    unsigned granted = 0;
    while (issuer.decide(limit_of(10.0), start + 60_s).is_granted) {
        ++granted;
    }
    CHECK(granted == 6);
}

TEST_CASE("permit issuer: daemons that are denied a permit are told to ask at different times")
{
    permit_issuer issuer;
    (void)issuer.decide(limit_of(5.0), start);
    const auto now = start + 100_ms;
    const auto first = issuer.decide(limit_of(5.0), now).wait;
    const auto second = issuer.decide(limit_of(5.0), now).wait;
    CHECK(second - first >= 199_ms);
    for (unsigned i = 0; i < 100; ++i) {
        CHECK(issuer.decide(limit_of(5.0), now).wait <= 1_s);
    }
}

TEST_CASE("permit issuer: a request that asks again when told to gets its permit")
{
    permit_issuer issuer;
    (void)issuer.decide(limit_of(3.0), start);
    time_ms now = start;
    for (unsigned i = 0; i < 50; ++i) {
        auto decision = issuer.decide(limit_of(3.0), now);
        if (!decision.is_granted) {
            now = now + decision.wait;
            decision = issuer.decide(limit_of(3.0), now);
        }
        CHECK(decision.is_granted);
    }
}

TEST_CASE("permit issuer: no pattern of requests gets more than the bound in any four seconds")
{
    rc::prop("the bound holds", [] {
        const double rate = *rc::gen::element(0.3, 1.0, 3.7, 6.8, 40.0);
        const auto gaps = *rc::gen::container<std::vector<int>>(
            400, rc::gen::oneOf(rc::gen::just(0), rc::gen::inRange(0, 900)));
        permit_issuer issuer;
        std::deque<time_ms> granted;
        time_ms now = start;
        for (const int gap : gaps) {
            now = now + time_ms{gap};
            if (issuer.decide({7, rate, {}}, now).is_granted) {
                granted.push_back(now);
            }
            while (!granted.empty() && now - granted.front() >= 4_s) {
                granted.pop_front();
            }
            RC_ASSERT(static_cast<double>(granted.size()) <= 1.5 * 4.0 * rate + 5.0);
        }
    });
}

} // namespace coriander
