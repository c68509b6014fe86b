#include "coriander/replicas/leave_decision.hpp"

#include "support/domain_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace coriander {
namespace {

using names = std::vector<std::string>;

} // namespace

TEST_CASE("leave decision: orders to leave do not cut streams while a silent host of the replica may go on")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::dissolving;
    domain.record.replicas[0].hosts[2].is_lost = true;
    domain.silent["d-h2"] = {102, domain.now - 300_ms};
    CHECK_FALSE(domain.decide().needs_action());
    CHECK(domain.decide().waiting_replicas == names{"d-5"});
    CHECK(free_hosts(domain.view()).size() == 5);
    SECTION("the host answers again; this daemon asks it")
    {
        domain.silent.clear();
    }
    SECTION("the host is not known as silent to a daemon that does not ask it")
    {
        domain.silent.clear();
        domain.hosts[2].is_self_reported = false;
        domain.is_owner = false;
    }
    SECTION("the leader is the silent host")
    {
        domain.record.replicas[0].hosts[2].is_lost = false;
        domain.record.replicas[0].hosts[0].is_lost = true;
        domain.silent = {{"d-h0", {100, domain.now - 300_ms}}};
    }
    SECTION("the replica completes its requests")
    {
        domain.hosts[0].part->phase = host_phase::closing;
    }
    CHECK_FALSE(domain.decide().needs_action());
}

TEST_CASE(
    "leave decision: hosts leave a dissolving replica as soon as its requests have ended or cannot go on")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::dissolving;
    domain.record.replicas[0].hosts[2].is_lost = true;
    domain.silent["d-h2"] = {102, domain.now - 300_ms};
    SECTION("its requests have ended")
    {
        domain.finished = {"d-5"};
    }
    SECTION("the host's process has ended")
    {
        domain.silent["d-h2"].has_ended = true;
    }
    SECTION("the host is silent for longer than a sound one may be")
    {
        domain.silent["d-h2"].since = domain.now - max_sound_silence;
    }
    SECTION("the host is no longer listed")
    {
        domain.hosts.erase(domain.hosts.begin() + 2);
    }
    SECTION("the host has restarted")
    {
        domain.hosts[2].incarnation = 999;
    }
    SECTION("another host is lost for good")
    {
        domain.record.replicas[0].hosts[3].is_lost = true;
        domain.hosts[3].incarnation = 999;
    }
    SECTION("the owner does not know that the host answers")
    {
        domain.silent.clear();
        domain.hosts[2].is_self_reported = false;
    }
    SECTION("the leader stopped accepting requests because of the loss")
    {
        domain.hosts[0].part->phase = host_phase::broken;
    }
    SECTION("the leader never accepted requests")
    {
        domain.hosts[0].part->phase = host_phase::ready;
    }
    const auto ordered = domain.hosts_ordered_to(order_kind::leave);
    CHECK(std::count(ordered.begin(), ordered.end(), "d-h0") == 1);
    CHECK(std::count(ordered.begin(), ordered.end(), "d-h1") == 1);
    CHECK(domain.decide().waiting_replicas.empty());
}

} // namespace coriander
