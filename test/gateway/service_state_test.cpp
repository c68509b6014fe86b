#include "gateway/service_state.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

/// A meter after ten seconds at ten requests per second, of which every `refused_of`th was refused.
model_meter busy_meter(int refused_of)
{
    model_meter meter;
    for (int i = 0; i < 100; ++i) {
        const auto now = start + time_ms{100LL * i};
        meter.on_request(500.0, now);
        if (refused_of > 0 && i % refused_of == 0) {
            meter.on_refused(now);
        }
    }
    return meter;
}

constexpr time_ms end = start + 9900_ms;

} // namespace

TEST_CASE("model meter: the rate and the size of requests are averaged")
{
    const auto load = busy_meter(0).load(end);
    CHECK(load.requests_per_s == Approx(10.0).epsilon(0.15));
    CHECK(load.prompt_tokens == Approx(500.0));
    CHECK(busy_meter(0).load(end + 30_s).requests_per_s < 0.1);
}

TEST_CASE("model meter: the refused share covers the last few seconds")
{
    CHECK(busy_meter(0).refused_share(end) == 0.0);
    CHECK(busy_meter(2).refused_share(end) == Approx(0.5).epsilon(0.1));
    CHECK(model_meter{}.refused_share(end) == 0.0);
}

TEST_CASE("model meter: a request's size class is relative to the mean of the preceding requests")
{
    model_meter meter;
    for (int i = 0; i < 100; ++i) {
        (void)meter.classify(1000.0);
    }
    CHECK(std::string{meter.classify(500.0)} == "below_mean");
    CHECK(std::string{meter.classify(1500.0)} == "above_mean");
    CHECK(std::string{meter.classify(3000.0)} == "above_double");
}

TEST_CASE("model meter: the expected duration is the measured one after the first answer")
{
    model_meter meter;
    const relay_service service;
    CHECK(expected_duration(meter.load(start), service, nullptr) == 0_ms);
    meter.on_answer(100.0, 900_ms);
    CHECK(expected_duration(meter.load(start), service, nullptr) == 900_ms);
}

} // namespace coriander
