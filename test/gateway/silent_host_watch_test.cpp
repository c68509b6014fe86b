#include "gateway/silent_host_watch.hpp"

#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Two hosts, the first of which did not answer.
struct watch_fixture : two_hosts {
    watch_fixture() { this->view.mark_silent("d-h0"); }
    void round()
    {
        this->watch.probe_all(this->start + 1_s);
        this->io.deliver();
    }

    silent_host_watch<fake_controller_io> watch{this->io, this->view};
};

} // namespace

TEST_CASE("silent host watch: a host that answers again may be used again")
{
    watch_fixture fleet;
    fleet.world.hosts["d-h0"].part = replica_part{"d-1", 1, host_phase::open};
    fleet.round();
    CHECK_FALSE(fleet.view.is_silent("d-h0"));
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->replica == "d-1");
}

TEST_CASE("silent host watch: a host that still does not answer stays out of use")
{
    watch_fixture fleet;
    fleet.world.unreachable = {"d-h0"};
    fleet.round();
    CHECK(fleet.view.is_silent("d-h0"));
}

TEST_CASE("silent host watch: an answer of another start is not the host's")
{
    watch_fixture fleet;
    fleet.world.hosts["d-h0"].incarnation = 7;
    fleet.round();
    CHECK(fleet.view.is_silent("d-h0"));
}

} // namespace coriander
