#include "controller/shard_manager.hpp"

#include "support/simulated_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

namespace coriander {
namespace {

/// Compared with `broken_promise()`, so that a failing check prints the violation.
const std::string no_violation;

} // namespace

TEST_CASE("shard manager: forms the wanted replicas, and routers see them serving")
{
    simulated_fleet fleet{1, 5, true};
    fleet.run_for(3_s);
    CHECK(fleet.serving() == 2);
    CHECK(fleet.invariant_violation() == no_violation);
}

TEST_CASE("shard manager: a replica with a dead host stops serving within the health window and gets the "
          "spare host")
{
    simulated_fleet fleet{1, 5, true};
    fleet.run_for(3_s);
    const auto victim = fleet.replicas().front().members.back().host;
    fleet.engines.at(victim)->crash();
    fleet.run_for(2500_ms);
    CHECK(fleet.serving() == 1);
    fleet.run_for(4_s);
    CHECK(fleet.serving() == 2);
    CHECK(fleet.invariant_violation() == no_violation);
}

TEST_CASE("shard manager: a replica with a restarted host does not serve until it is re-formed")
{
    simulated_fleet fleet{1, 4, true};
    fleet.run_for(3_s);
    auto& victim = *fleet.engines.at(fleet.replicas().front().members.back().host);
    const auto before = fleet.replicas().front().generation;
    victim.restart();
    fleet.poll_reports();
    CHECK(fleet.serving() == 1);
    fleet.run_for(3_s);
    CHECK(fleet.serving() == 2);
    CHECK(fleet.replicas().front().generation > before);
}

TEST_CASE("shard manager: a replaced host that was frozen is unloaded before it is reused")
{
    for (const bool checks_fence : {true, false}) {
        simulated_fleet fleet{1, 5, checks_fence};
        fleet.run_for(3_s);
        const auto victim = fleet.replicas().front().members.front().host;
        fleet.engines.at(victim)->freeze();
        fleet.run_for(7_s);
        CHECK(fleet.serving() == 2);
        CHECK_FALSE(fleet.engines.at(victim)->replica.empty());
        fleet.engines.at(victim)->thaw();
        fleet.run_for(6_s);
        CHECK(fleet.engines.at(victim)->replica.empty());
        CHECK_FALSE(fleet.rows.read(host_claim_row_key(victim)).value().has_value());
        CHECK(fleet.serving() == 2);
    }
}

TEST_CASE("shard manager: a paused holder whose lease expired changes nothing and sends no orders")
{
    simulated_fleet fleet{2, 5, false};
    fleet.run_for(3_s);
    auto& paused_holder = *fleet.controllers[0];
    REQUIRE(paused_holder.keeper.is_held());
    paused_holder.frozen = true;
    fleet.run_for(8_s);
    REQUIRE(fleet.controllers[1]->keeper.is_held());
    paused_holder.frozen = false;
    fleet.run(0);
    CHECK_FALSE(paused_holder.keeper.is_held());
    CHECK(paused_holder.orders.empty());
    CHECK(fleet.invariant_violation() == no_violation);
}

TEST_CASE("shard manager: the outcome of an allocation whose response was lost is read from the rows")
{
    simulated_fleet fleet{1, 4, true};
    fleet.run(0);
    fleet.clock.advance(250_ms);
    fleet.controllers[0]->table.faults = {commit_fault::none, commit_fault::answer_lost};
    fleet.run_for(5_s);
    CHECK(fleet.serving() == 2);
    CHECK(fleet.invariant_violation() == no_violation);
}

TEST_CASE("shard manager: an outage of a whole domain shorter than the grace period changes no replica")
{
    simulated_fleet fleet{2, 5, true};
    fleet.run_for(3_s);
    const auto before = fleet.replicas();
    for (auto& [id, engine] : fleet.engines) {
        engine->freeze();
    }
    fleet.run_for(14_s);
    CHECK(fleet.serving() == 0);
    for (auto& [id, engine] : fleet.engines) {
        engine->thaw();
    }
    fleet.run_for(5_s);
    CHECK(fleet.serving() == 2);
    REQUIRE(fleet.replicas().size() == before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        CHECK(fleet.replicas()[i].generation == before[i].generation);
    }
}

// Guards against a fault in which controllers kept passing the shard to each other and each of them treated
// the outage as new, so that the grace period never ended.
TEST_CASE("shard manager: the replicas of a domain whose outage lasts are dissolved after the grace period")
{
    for (const std::size_t controllers : {1U, 2U, 3U}) {
        simulated_fleet fleet{controllers, 5, true};
        fleet.run_for(3_s);
        for (auto& [id, engine] : fleet.engines) {
            engine->freeze();
        }
        fleet.run_for(40_s);
        CAPTURE(controllers);
        for (const auto& replica : fleet.replicas()) {
            CHECK(replica.members.empty());
        }
    }
}

namespace {

/// Applies one random fault or recovery.
void inject_fault(simulated_fleet& fleet, std::mt19937_64& random)
{
    const auto pick_engine = [&]() -> simulated_engine& {
        auto one = fleet.engines.begin();
        std::advance(one, static_cast<std::ptrdiff_t>(random() % fleet.engines.size()));
        return *one->second;
    };
    auto& controller = *fleet.controllers[random() % fleet.controllers.size()];
    switch (random() % 12) {
    case 0:
        pick_engine().freeze();
        break;
    case 1:
    case 2:
        pick_engine().thaw();
        break;
    case 3:
        pick_engine().crash();
        break;
    case 4:
    case 5:
        pick_engine().restart();
        break;
    case 6:
        controller.frozen = true;
        break;
    case 7:
    case 8:
        controller.frozen = false;
        break;
    case 9:
        controller.table.faults.push_back(static_cast<commit_fault>(random() % 5));
        break;
    case 10:
        controller.table.apply_late_commits();
        break;
    default:
        controller.table.down = !controller.table.down;
        break;
    }
}

} // namespace

TEST_CASE(
    "shard manager: over random faults no host is in two replicas and no replica serves with a host missing")
{
    rc::prop("hosts and replicas", [](std::uint64_t seed, bool checks_fence) {
        std::mt19937_64 random{seed};
        simulated_fleet fleet{3, 6, checks_fence};
        for (int step = 0; step < 250; ++step) {
            inject_fault(fleet, random);
            const auto active = random() % fleet.controllers.size();
            fleet.run(active, random() % 4 != 0);
            if (random() % 2 == 0) {
                // Orders decided on before a pause are sent only if the sender was not frozen during it.
                fleet.send_orders(active);
            }
            fleet.poll_reports();
            const auto violation = fleet.invariant_violation();
            RC_ASSERT(violation == no_violation);
            for (const auto& replica : fleet.replicas()) {
                if (!fleet.router_view.check(replica, fleet.clock.now()).serves()) {
                    continue;
                }
                for (const auto& member : replica.members) {
                    const auto& engine = *fleet.engines.at(member.host);
                    const auto heard = fleet.router_view.last_report_time(member.host);
                    RC_ASSERT(engine.is_responsive() || fleet.clock.now() - *heard <= 2_s);
                }
            }
            fleet.clock.advance(time_ms{static_cast<std::int64_t>(random() % 700)});
        }
    });
}

TEST_CASE("shard manager: once faults end, all wanted replicas serve again")
{
    rc::prop("recovery", [](std::uint64_t seed, bool checks_fence) {
        std::mt19937_64 random{seed};
        simulated_fleet fleet{3, 6, checks_fence};
        for (int step = 0; step < 120; ++step) {
            inject_fault(fleet, random);
            fleet.run(random() % fleet.controllers.size());
            fleet.clock.advance(time_ms{static_cast<std::int64_t>(random() % 700)});
        }
        for (auto& controller : fleet.controllers) {
            controller->frozen = false;
            controller->table.down = false;
            controller->table.faults.clear();
        }
        for (auto& [id, engine] : fleet.engines) {
            if (!engine->is_responsive()) {
                engine->restart();
            }
        }
        fleet.run_for(40_s);
        RC_ASSERT(fleet.invariant_violation() == no_violation);
        RC_ASSERT(fleet.serving() == 2U);
    });
}

} // namespace coriander
