#include "coriander/relay/fleet_demand.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr std::uint64_t model = 5;

} // namespace

TEST_CASE("fleet demand: reports of other daemons correct the measurement of a single daemon")
{
    fleet_demand demand;
    for (std::uint64_t sender = 1; sender < 10; ++sender) {
        demand.on_report(sender, std::vector<model_demand>{{model, {1.0, 1000.0, 100.0, 2000.0}}}, start);
    }
    const auto load = demand.total(model, {0.0, 0.0, 0.0, 0.0}, 60, start);
    CHECK(load.requests_per_s == Approx(0.9 * 60));
    CHECK(load.prompt_tokens == Approx(1000.0));
    CHECK(load.duration_ms == Approx(2000.0));
}

TEST_CASE("fleet demand: sizes are weighted by the rates, and daemons without a response are not counted for "
          "responses")
{
    fleet_demand demand;
    demand.on_report(1, std::vector<model_demand>{{model, {3.0, 2000.0, 0.0, 0.0}}}, start);
    const auto load = demand.total(model, {1.0, 1000.0, 100.0, 800.0}, 2, start);
    CHECK(load.requests_per_s == Approx(4.0));
    CHECK(load.prompt_tokens == Approx(1750.0));
    CHECK(load.answer_tokens == Approx(100.0));
    CHECK(load.duration_ms == Approx(800.0));
}

TEST_CASE("fleet demand: responses of plain services have a duration although they have no tokens")
{
    fleet_demand demand;
    demand.on_report(1, std::vector<model_demand>{{model, {1.0, 0.0, 0.0, 30.0}}}, start);
    CHECK(demand.total(model, {1.0, 0.0, 0.0, 10.0}, 2, start).duration_ms == Approx(20.0));
}

TEST_CASE("fleet demand: a daemon's report expires")
{
    fleet_demand demand;
    demand.on_report(1, std::vector<model_demand>{{model, {9.0, 1000.0, 100.0, 2000.0}}}, start);
    CHECK(demand.total(model, {1.0, 1000.0, 100.0, 2000.0}, 2, start + 11_s).requests_per_s == Approx(2.0));
}

TEST_CASE("fleet demand: the same model of two services has different keys")
{
    CHECK(model_key("a", "m") != model_key("b", "m"));
    CHECK(model_key("a", "m") == model_key("a", "m"));
}

} // namespace coriander
