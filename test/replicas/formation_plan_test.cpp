#include "coriander/replicas/formation_plan.hpp"
#include "coriander/replicas/replica_demand.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

struct plan_fixture {
    std::vector<model_profile> models = samples::two_models();
    std::map<std::string, double> needed{{"large", 5.0}, {"small", 4.0}};
    std::map<std::string, std::size_t> existing;
    std::vector<domain_capacity> domains;
    bool only_staged = false;

    [[nodiscard]] formation_input input() const
    {
        return {this->models, &this->needed, &this->existing, this->domains, this->only_staged, true};
    }

    [[nodiscard]] std::map<std::string, std::size_t> formed() const
    {
        std::map<std::string, std::size_t> counts;
        for (const auto& [domain, names] : plan_formation(this->input())) {
            for (const auto& name : names) {
                ++counts[name];
            }
        }
        return counts;
    }
};

} // namespace

TEST_CASE("formation plan: few hosts are left over, and models get replicas by their need")
{
    plan_fixture plan;
    for (int i = 0; i < 6; ++i) {
        plan.domains.push_back({"d" + std::to_string(i), 9, {}, {}});
    }
    const auto counts = plan.formed();
    CHECK(counts.at("large") * 4 + counts.at("small") * 3 >= 50);
    CHECK(counts.at("large") >= counts.at("small"));
}

TEST_CASE(
    "formation plan: a domain runs a single model, so that remaining hosts can form replicas without a load")
{
    plan_fixture plan;
    for (int i = 0; i < 6; ++i) {
        plan.domains.push_back({"d" + std::to_string(i), 9, {}, {}});
    }
    for (const auto& [domain, models] : plan_formation(plan.input())) {
        CAPTURE(domain);
        CHECK(std::set<std::string>{models.begin(), models.end()}.size() == 1);
    }
    const auto counts = plan.formed();
    CHECK(counts.at("large") >= 6);
    CHECK(counts.at("small") >= 6);
}

TEST_CASE("formation plan: the loss of a failure domain does not take most replicas of a model")
{
    rc::prop("domains whose hosts arrive three domains at a time", []() {
        plan_fixture plan;
        std::vector<domain_capacity> arriving;
        for (const std::string zone : {"gent", "antwerpen", "leuven"}) {
            arriving.push_back({zone + "-d0", 9, {}, {}, zone});
            arriving.push_back({zone + "-d1", 9, {}, {}, zone});
        }
        std::map<std::string, std::size_t> large{{"gent", 0}, {"antwerpen", 0}, {"leuven", 0}};
        while (!arriving.empty()) {
            for (int i = 0; i < 3; ++i) {
                const auto next = *rc::gen::inRange<std::size_t>(0, arriving.size());
                plan.domains.push_back(arriving[next]);
                arriving.erase(arriving.begin() + static_cast<std::ptrdiff_t>(next));
            }
            const auto formed = plan_formation(plan.input());
            for (auto& domain : plan.domains) {
                const auto found = formed.find(domain.domain);
                if (found == formed.end()) {
                    continue;
                }
                domain.free = 0;
                for (const auto& model : found->second) {
                    ++domain.running[model];
                    ++plan.existing[model];
                }
                large[domain.failure_domain] += domain.running["large"];
            }
        }
        const auto [fewest, most] = std::minmax({large["gent"], large["antwerpen"], large["leuven"]});
        RC_ASSERT(most <= fewest + 2); // A domain has room for two of them.
    });
}

TEST_CASE("formation plan: models share a domain only while one of them is short of replicas")
{
    plan_fixture plan;
    plan.only_staged = true;
    plan.domains = {{"d", 4, {{"small", 4}}, {{"large", 1}}}};
    plan.existing = {{"large", 6}, {"small", 5}};
    CHECK(plan_formation(plan.input()).empty());
    plan.existing = {{"large", 6}, {"small", 3}};
    CHECK(plan_formation(plan.input()) == formation{{"d", {"small"}}});
    auto early = plan.input();
    early.may_mix = false;
    CHECK(plan_formation(early).empty());
}

TEST_CASE(
    "formation plan: a model does not take the spare hosts that another model's replicas need after a loss")
{
    plan_fixture plan;
    plan.domains = {{"d", 3, {}, {{"large", 1}}}};
    plan.existing = {{"large", 6}, {"small", 1}};
    CHECK(plan_formation(plan.input()).empty());
    SECTION("unless it has no replicas")
    {
        plan.existing["small"] = 0;
        CHECK(plan_formation(plan.input()) == formation{{"d", {"small"}}});
    }
    SECTION("unless it has less than half of the replicas it needs and loads are expensive")
    {
        plan.only_staged = true;
        plan.domains[0].staged["small"] = 3;
        CHECK(plan_formation(plan.input()) == formation{{"d", {"small"}}});
        plan.existing["small"] = 3;
        CHECK(plan_formation(plan.input()).empty());
    }
}

TEST_CASE("formation plan: the model with the lowest coverage comes first")
{
    plan_fixture plan;
    plan.domains = {{"d", 4, {}, {}}};
    plan.existing = {{"large", 6}, {"small", 1}};
    CHECK(plan_formation(plan.input()) == formation{{"d", {"small"}}});
    plan.existing = {{"large", 1}, {"small", 6}};
    CHECK(plan_formation(plan.input()) == formation{{"d", {"large"}}});
}

TEST_CASE("formation plan: when loads are expensive, only hosts that hold the model are used")
{
    plan_fixture plan;
    plan.only_staged = true;
    plan.domains = {{"d", 9, {{"large", 3}, {"small", 2}}, {}}};
    CHECK(plan_formation(plan.input()).empty());
    plan.domains = {{"d", 9, {{"large", 3}, {"small", 3}}, {}}};
    CHECK(plan_formation(plan.input()) == formation{{"d", {"small"}}});
}

TEST_CASE("formation plan: no domain uses more hosts than it has")
{
    rc::prop("random free hosts", []() {
        plan_fixture plan;
        const auto count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
            const auto free = *rc::gen::inRange<std::size_t>(0, 20);
            const auto large = *rc::gen::inRange<std::size_t>(0, free + 1);
            plan.domains.push_back(
                {"d" + std::to_string(i), free, {{"large", large}, {"small", free - large}}, {}});
        }
        plan.only_staged = *rc::gen::arbitrary<bool>();
        for (const auto& [name, formed] : plan_formation(plan.input())) {
            std::map<std::string, std::size_t> used;
            for (const auto& model : formed) {
                used[model] += model == "large" ? 4 : 3;
            }
            const auto& domain = *std::find_if(
                plan.domains.begin(), plan.domains.end(),
                [&, wanted = name](const domain_capacity& one) { return one.domain == wanted; });
            RC_ASSERT(used["large"] + used["small"] <= domain.free);
            if (plan.only_staged) {
                RC_ASSERT(used["large"] <= domain.staged.at("large"));
                RC_ASSERT(used["small"] <= domain.staged.at("small"));
            }
        }
    });
}

TEST_CASE("formation plan: usable hosts are the most that replicas of these sizes can use")
{
    const auto models = samples::two_models();
    CHECK(usable_hosts(2, models) == 0);
    CHECK(usable_hosts(5, models) == 4);
    CHECK(usable_hosts(6, models) == 6);
    CHECK(usable_hosts(9, models) == 9);
}

TEST_CASE("replica demand: a request's cost grows with its tokens and with the model's time factor")
{
    const auto service = samples::assistant();
    const auto& engine = *service.engine;
    const double usual = request_cost_ms(engine, engine.models[0], 1000.0, 100.0);
    CHECK(usual > 0.0);
    CHECK(request_cost_ms(engine, engine.models[0], 2000.0, 100.0) > usual);
    CHECK(request_cost_ms(engine, engine.models[0], 1000.0, 200.0) > usual);
    CHECK(request_cost_ms(engine, engine.models[1], 1000.0, 100.0) == Approx(0.6 * usual));
}

TEST_CASE("replica demand: the configured shares apply until traffic was measured")
{
    const auto service = samples::assistant();
    const auto declared = needed_replicas(*service.engine, {}, 40);
    CHECK(declared.at("large") ==
          Approx(0.85 * 40 * 0.6 / 4)); // Its share of the hosts, in replicas of four.
    const auto measured = needed_replicas(*service.engine, {{"small", {80.0, 700.0, 220.0}}}, 40);
    CHECK(measured.at("large") == 0.0);
    CHECK(measured.at("small") > 2.0);
    CHECK(measured.at("small") < 6.0);
}

TEST_CASE(
    "replica demand: a configured share is a share of the hosts, so that smaller replicas are more numerous")
{
    engine_profile engine;
    engine.models = {{"large", 16, 1.0, 0.5, 16_s, 1600_ms}, {"small", 4, 0.6, 0.5, 12_s, 1100_ms}};
    const auto needed = needed_replicas(engine, {}, 222);
    CHECK(needed.at("small") == Approx(4.0 * needed.at("large")));
}

} // namespace coriander
