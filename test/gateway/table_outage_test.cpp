#include "support/fleet_fixture.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Hundred daemons, one domain with open replicas. Then the table is out of reach for all, and a host of a
/// replica is lost, so that the domain's record should change.
struct outage_fixture : fleet_fixture {
    outage_fixture() : fleet_fixture{100}
    {
        for (auto& one : this->daemons) {
            one->control.set_table_check([&io = one->io] { return io.reaches_table; });
        }
        this->run(6_s);
        REQUIRE(this->open_replicas() > 0);
        this->set_reach(false);
        const auto lost = this->record().replicas.front().hosts.back().id;
        this->world.unreachable.push_back(lost);
        this->world.ended.push_back(lost);
        for (auto& one : this->daemons) {
            one->view.mark_silent(lost, this->now);
            one->view.mark_ended(lost);
        }
        this->world.commits = 0;
    }

    void set_reach(bool reaches)
    {
        for (auto& one : this->daemons) {
            one->io.reaches_table = reaches;
        }
    }
};

} // namespace

TEST_CASE("table outage: daemons that can't reach the table send it no takeovers")
{
    outage_fixture fleet;
    SECTION("for 8 s")
    {
        fleet.run(8_s);
        CHECK(fleet.world.commits <= 5); // Of the owner, at growing intervals.
    }
    SECTION("for a minute")
    {
        fleet.run(60_s);
        CHECK(fleet.world.commits <= 12);
    }
}

TEST_CASE("table outage: the owner commits at once when the table is back, and the others don't all at the "
          "same time")
{
    outage_fixture fleet;
    fleet.run(8_s);
    fleet.set_reach(true);
    fleet.world.commits = 0;
    fleet.run(300_ms);
    CHECK(fleet.world.commits >= 1);
    CHECK(fleet.world.commits <= 3);
    fleet.run(6_s);
    CHECK(fleet.open_replicas() > 0);
    CHECK(fleet.world.commits <= 20);
}

} // namespace coriander
