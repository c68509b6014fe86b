#include "coriander/relay/admission_forecast.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

admission_input input_with(std::uint32_t own, double others)
{
    admission_input input;
    target_choice choice;
    choice.target.slots = 26;
    choice.own_requests = own;
    choice.other_requests = others;
    input.best = choice;
    input.typical_duration = 1300_ms;
    input.objective = 200_ms;
    input.time_left = 5_s;
    return input;
}

} // namespace

TEST_CASE("admission forecast: a free slot means no wait")
{
    const auto advice = forecast_admission(input_with(5, 20.0));
    CHECK(advice.is_admitted);
    CHECK(advice.predicted_wait == 0_ms);
}

TEST_CASE("admission forecast: a request that would be late is refused immediately, with a retry-after time")
{
    const auto advice = forecast_admission(input_with(10, 20.0));
    CHECK_FALSE(advice.is_admitted);
    CHECK(advice.predicted_wait == 250_ms);
    CHECK(advice.retry_after >= 100_ms);
    CHECK(advice.retry_after < 250_ms);
}

TEST_CASE(
    "admission forecast: if the demand exceeds the supply, the excess is refused before queues build up")
{
    auto input = input_with(2, 20.0);
    input.supply = 0.75;
    input.draw = 0.7;
    CHECK(forecast_admission(input).is_admitted);
    input.draw = 0.8;
    const auto advice = forecast_admission(input);
    CHECK_FALSE(advice.is_admitted);
    CHECK(advice.retry_after >= 100_ms);
}

TEST_CASE("admission forecast: a target with at least half of its slots free accepts requests at any supply")
{
    auto input = input_with(2, 10.0);
    input.supply = 0.5;
    input.draw = 0.9;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a longer objective allows a longer wait")
{
    auto input = input_with(2, 24.0);
    CHECK(forecast_admission(input).is_admitted);
    input = input_with(6, 24.0);
    CHECK_FALSE(forecast_admission(input).is_admitted);
    input.objective = 2_s;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a wait beyond the caller's timeout is refused regardless of the objective")
{
    auto input = input_with(30, 30.0);
    input.objective = 60_s;
    input.time_left = 1_s;
    CHECK_FALSE(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a request without enough time left for a response is refused")
{
    auto input = input_with(0, 0.0);
    input.time_left = 5_ms;
    CHECK_FALSE(forecast_admission(input).is_admitted);
    input.time_left = admission_settings{}.min_time_left;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: the retry-after time grows with the fraction of refused requests")
{
    auto input = input_with(10, 20.0);
    const auto without_others = forecast_admission(input).retry_after;
    input.refused_share = 0.5;
    CHECK(forecast_admission(input).retry_after == without_others + 1_s);
}

TEST_CASE("admission forecast: without a target the request is refused with the retry-after time for outages")
{
    const auto advice = forecast_admission({});
    CHECK_FALSE(advice.is_admitted);
    CHECK(advice.retry_after == admission_settings{}.outage_retry);
}

} // namespace coriander
