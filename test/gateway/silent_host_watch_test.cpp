#include "gateway/silent_host_watch.hpp"

#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Two hosts, the first of which is silent.
struct watch_fixture : two_hosts {
    watch_fixture() { this->view.mark_silent("d-h0", 0_s); }
    void probe()
    {
        this->watch.probe_all(this->start + 1_s);
        this->io.deliver();
    }

    silent_host_watch<fake_controller_io> watch{this->io, this->view};
};

} // namespace

TEST_CASE("silent host watch: a host that answers again is used again")
{
    watch_fixture fleet;
    fleet.world.hosts["d-h0"].part = replica_part{"d-1", 1, host_phase::open};
    fleet.probe();
    CHECK_FALSE(fleet.view.is_silent("d-h0"));
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->replica == "d-1");
}

TEST_CASE("silent host watch: a host that still does not answer stays silent")
{
    watch_fixture fleet;
    fleet.world.unreachable = {"d-h0"};
    fleet.probe();
    CHECK(fleet.view.is_silent("d-h0"));
}

TEST_CASE("silent host watch: an answer of another incarnation is ignored")
{
    watch_fixture fleet;
    fleet.world.hosts["d-h0"].incarnation = 7;
    fleet.probe();
    CHECK(fleet.view.is_silent("d-h0"));
}

} // namespace coriander
