#include "support/fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace coriander {

TEST_CASE("fleet controller: a lost host is replaced by a host that is already warm")
{
    fleet_fixture fleet{2};
    fleet.run(12_s);
    for (auto& one : fleet.daemons) {
        one->control.set_cheap_loads(false);
    }
    const auto lost = fleet.record().replicas.front();
    std::set<std::string> joined; // Hosts that have joined any replica since their start.
    for (const auto& order : fleet.world.orders) {
        if (order.kind == order_kind::join) {
            joined.insert(order.host);
        }
    }
    fleet.world.hosts.erase(lost.hosts.back().id);
    fleet.run(3_s);
    const auto formed = fleet.record().replicas.back();
    REQUIRE(formed.model == lost.model);
    REQUIRE(formed.generation > lost.generation);
    for (const auto& host : formed.hosts) {
        CAPTURE(host.id);
        CHECK(joined.contains(host.id));
    }
}

TEST_CASE("fleet controller: a delayed commit answer does not postpone the warming of spare hosts")
{
    fleet_fixture fleet{1};
    fleet.daemons[0]->io.delays_commit_answers = true;
    fleet.run(8_s);
    for (const auto& [id, host] : fleet.world.hosts) {
        CAPTURE(id);
        CHECK(std::any_of(fleet.world.orders.begin(), fleet.world.orders.end(),
                          [&, host_id = id](const host_order& order) {
                              return order.kind == order_kind::join && order.host == host_id;
                          }));
    }
}

TEST_CASE("fleet controller: warm spare hosts get no further orders")
{
    fleet_fixture fleet{2};
    fleet.run(12_s);
    const auto orders = fleet.world.orders.size();
    fleet.run(20_s);
    CHECK(fleet.world.orders.size() == orders);
}

TEST_CASE("fleet controller: a spare host that fails to warm is not ordered to join continuously")
{
    fleet_fixture fleet{1};
    fleet.run_until_planned();
    std::set<std::string> members;
    for (const auto& replica : fleet.record().replicas) {
        for (const auto& host : replica.hosts) {
            members.insert(host.id);
        }
    }
    for (const auto& [id, host] : fleet.world.hosts) {
        if (!members.contains(id)) {
            fleet.world.ignores_orders.push_back(id);
            fleet.world.hosts[id].staged = {"large"};
        }
    }
    REQUIRE_FALSE(fleet.world.ignores_orders.empty());
    fleet.daemons[0]->control.set_cheap_loads(false);
    const auto before = fleet.record().last_generation;
    fleet.run(30_s);
    CAPTURE(fleet.record().last_generation, before);
    CHECK(fleet.record().last_generation - before <= 4);
}

} // namespace coriander
