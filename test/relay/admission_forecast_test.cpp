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
    input.usual_duration = 1300_ms;
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

TEST_CASE("admission forecast: what would come too late is refused at once, with a time to come back")
{
    const auto advice = forecast_admission(input_with(10, 20.0));
    CHECK_FALSE(advice.is_admitted);
    CHECK(advice.predicted_wait == 250_ms);
    CHECK(advice.retry_after >= 100_ms);
    CHECK(advice.retry_after < 250_ms);
}

TEST_CASE("admission forecast: with too few targets for the demand the excess is refused before queues form")
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

TEST_CASE("admission forecast: a target with half of its slots free takes requests whatever the supply")
{
    auto input = input_with(2, 10.0);
    input.supply = 0.5;
    input.draw = 0.9;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a longer objective bears a longer wait")
{
    auto input = input_with(2, 24.0);
    CHECK(forecast_admission(input).is_admitted);
    input = input_with(6, 24.0);
    CHECK_FALSE(forecast_admission(input).is_admitted);
    input.objective = 2_s;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a wait beyond the caller's time is refused whatever the objective")
{
    auto input = input_with(30, 30.0);
    input.objective = 60_s;
    input.time_left = 1_s;
    CHECK_FALSE(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: a request that has no time left for an answer is refused, not sent in vain")
{
    auto input = input_with(0, 0.0);
    input.time_left = 5_ms;
    CHECK_FALSE(forecast_admission(input).is_admitted);
    input.time_left = admission_settings{}.least_time;
    CHECK(forecast_admission(input).is_admitted);
}

TEST_CASE("admission forecast: the more are refused, the later they are told to come back")
{
    auto input = input_with(10, 20.0);
    const auto alone = forecast_admission(input).retry_after;
    input.refused_share = 0.5;
    CHECK(forecast_admission(input).retry_after == alone + 1_s);
}

TEST_CASE("admission forecast: without a target the answer is a refusal for the time of an outage")
{
    const auto advice = forecast_admission({});
    CHECK_FALSE(advice.is_admitted);
    CHECK(advice.retry_after == admission_settings{}.outage_retry);
}

} // namespace coriander
