#include "coriander/replicas/load_plan.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

using loads = std::vector<load_assignment>;

/// Replicas of `large` have four hosts, those of `small` three.
struct load_fixture {
    std::vector<model_profile> models = samples::two_models();
    std::map<std::string, double> needed{{"large", 5.0}, {"small", 4.0}};
    std::map<std::string, std::size_t> existing{{"large", 4}, {"small", 3}};

    [[nodiscard]] loads plan(const std::vector<domain_spares>& domains) const
    {
        return plan_loads({this->models, &this->needed, &this->existing, {}, true, true}, domains);
    }
};

} // namespace

TEST_CASE("load plan: a replica that misses few loads is completed, and leftover hosts become replacements")
{
    load_fixture fixture;
    const domain_spares domain{
        "d", {{"a", "large"}, {"b", "large"}, {"c", "large"}, {"d", "small"}, {"e", ""}}, {}};
    fixture.existing = {{"large", 4}, {"small", 6}};
    CHECK(fixture.plan({domain}) == loads{{"d", "e", "large"}, {"d", "d", "large"}});
}

TEST_CASE("load plan: a load in progress counts as done and is not ordered again")
{
    load_fixture fixture;
    const domain_spares domain{"d", {{"a", "small"}, {"b", "small", true}, {"c", ""}}, {}};
    CHECK(fixture.plan({domain}) == loads{{"d", "c", "small"}});
    const domain_spares all_loading{"d", {{"a", "small"}, {"b", "small", true}, {"c", "small", true}}, {}};
    CHECK(fixture.plan({all_loading}).empty());
}

TEST_CASE("load plan: hosts that hold a short model do not load one that has enough replicas")
{
    load_fixture fixture;
    fixture.existing = {{"large", 2}, {"small", 5}};
    const domain_spares domain{"d", {{"a", "large"}, {"b", "large"}, {"c", "large"}}, {{"large", 1}}};
    CHECK(fixture.plan({domain}).empty());
}

TEST_CASE("load plan: a model with fewer than one replica more than it needs is short, since one may be lost")
{
    load_fixture fixture;
    fixture.needed = {{"large", 0.9}, {"small", 3.5}};
    fixture.existing = {{"large", 1}, {"small", 4}};
    const domain_spares one_missing{"d", {{"a", "large"}, {"b", "large"}, {"c", "large"}, {"d", ""}}, {}};
    CHECK(fixture.plan({one_missing}) == loads{{"d", "d", "large"}});
}

TEST_CASE("load plan: hosts that hold a short model are kept even if they are too few for a replica")
{
    load_fixture fixture;
    fixture.existing = {{"large", 2}, {"small", 3}};
    const domain_spares domain{"d", {{"a", "large"}, {"b", "large"}, {"c", "large"}}, {{"small", 1}}};
    CHECK(fixture.plan({domain}).empty());
    fixture.existing = {{"large", 4}, {"small", 1}};
    CHECK(fixture.plan({domain}).size() == 3);
}

TEST_CASE(
    "load plan: the model with the lowest coverage comes first, and nearly complete replicas before others")
{
    load_fixture fixture;
    const domain_spares one{"d1", {{"a", ""}, {"b", ""}, {"c", ""}}, {}};
    const domain_spares other{"d2", {{"e", "small"}, {"f", "small"}, {"g", ""}}, {}};
    fixture.existing = {{"large", 6}, {"small", 2}};
    const auto planned = fixture.plan({one, other});
    REQUIRE(planned.size() == 4);
    CHECK(planned.front() == load_assignment{"d2", "g", "small"});
    fixture.existing = {{"large", 0}, {"small", 4}};
    const domain_spares large{"d3", {{"h", "large"}, {"i", "large"}, {"j", "large"}, {"k", ""}}, {}};
    CHECK(fixture.plan({other, large}).front() == load_assignment{"d3", "k", "large"});
}

TEST_CASE(
    "load plan: replacements are spread over the domain's models by the number of their replicas' hosts")
{
    load_fixture fixture;
    fixture.existing = {{"large", 6}, {"small", 5}};
    const std::map<std::string, std::size_t> running{{"large", 1}, {"small", 1}};
    CHECK(fixture.plan({{"d", {{"a", ""}, {"b", ""}}, running}}) ==
          loads{{"d", "a", "large"}, {"d", "b", "small"}});
    CHECK(fixture.plan({{"d", {{"a", "large"}, {"b", ""}}, running}}) == loads{{"d", "b", "small"}});
    CHECK(fixture.plan({{"d", {{"a", "other"}}, running}}) == loads{{"d", "a", "large"}});
    CHECK(fixture.plan({{"d", {{"a", "small"}, {"b", "small"}}, running}}) == loads{{"d", "a", "large"}});
    CHECK(fixture.plan({{"d", {{"a", "small"}, {"b", "large"}}, running}}).empty());
    CHECK(fixture.plan({{"d", {{"a", "small"}}, running}}).empty());
    // The four small replicas have twelve hosts, the large one has four.
    const domain_spares mixed{
        "d", {{"a", ""}, {"b", ""}, {"c", ""}, {"d", ""}}, {{"large", 1}, {"small", 4}}};
    const auto planned = fixture.plan({mixed});
    CHECK(planned.size() == 4);
    CHECK(std::count_if(planned.begin(), planned.end(),
                        [](const load_assignment& one) { return one.model == "large"; }) == 1);
}

} // namespace coriander
