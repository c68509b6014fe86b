#include "coriander/replicas/domain_planner.hpp"

#include "support/domain_fixture.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace coriander {
namespace {

using names = std::vector<std::string>;

} // namespace

TEST_CASE("domain planner: a new replica prefers hosts that can join without loading")
{
    domain_fixture domain;
    domain.hosts[7].warm_model = "large";
    domain.hosts[8].warm_model = "large";
    domain.hosts[4].staged = {"small"};
    REQUIRE(form_replica(domain.record, domain.view(), samples::two_models()[0], "d", true));
    names ids;
    for (const auto& host : domain.record.replicas.back().hosts) {
        ids.push_back(host.id);
    }
    CHECK(ids == names{"d-h7", "d-h8", "d-h5", "d-h6"});
}

TEST_CASE("domain planner: spare hosts are warmed once for the model that they hold")
{
    domain_fixture domain;
    domain.hosts[4].warm_model = "large";
    domain.hosts[5].staged = {"small"};
    const auto added = add_warming_replicas(domain.record, domain.view(), samples::two_models(), "d");
    CHECK(added == names{"d-6", "d-7"});
    REQUIRE(domain.record.replicas.size() == 3);
    CHECK(domain.record.replicas[1].model == "large");
    CHECK(domain.record.replicas[1].hosts.size() == 3);
    CHECK(domain.record.replicas[2].model == "small");
    CHECK(domain.record.replicas[2].hosts.size() == 1);
    CHECK(add_warming_replicas(domain.record, domain.view(), samples::two_models(), "d").empty());
}

TEST_CASE("domain planner: a warming replica dissolves when all its hosts are ready, and never opens")
{
    domain_fixture domain;
    add_warming_replicas(domain.record, domain.view(), samples::two_models(), "d");
    CHECK(domain.hosts_ordered_to(order_kind::join).size() == 5);
    for (std::size_t i = 4; i < domain.hosts.size(); ++i) {
        domain.hosts[i].part = replica_part{"d-6", 6, host_phase::ready};
    }
    CHECK(domain.hosts_ordered_to(order_kind::open).empty());
    domain.record = domain.decide().next;
    CHECK(domain.record.replicas[1].phase == replica_phase::dissolving);
    CHECK(domain.hosts_ordered_to(order_kind::leave).size() == 5);
}

TEST_CASE("domain planner: warming is cancelled when a replica loses a host, to free the spare hosts")
{
    domain_fixture domain;
    add_warming_replicas(domain.record, domain.view(), samples::two_models(), "d");
    domain.silent = {{"d-h3", {domain.hosts[3].incarnation}}};
    domain.record = domain.decide().next;
    REQUIRE(domain.record.replicas[0].phase == replica_phase::dissolving);
    domain.record = domain.decide().next;
    CHECK(domain.record.replicas[1].phase == replica_phase::dissolving);
}

TEST_CASE("domain planner: a pending load is ordered, and removed when it has ended")
{
    domain_fixture domain;
    domain.record.loads = {{"d-h5", "small"}};
    const auto decision = domain.decide();
    CHECK_FALSE(decision.needs_action()); // Other daemons don't take over for it.
    REQUIRE(decision.load_orders.size() == 1);
    CHECK(decision.load_orders[0].host == "d-h5");
    CHECK(decision.load_orders[0].model == "small");
    SECTION("the host holds the model")
    {
        domain.hosts[5].staged = {"small"};
    }
    SECTION("the host is no longer listed")
    {
        domain.hosts.erase(domain.hosts.begin() + 5);
    }
    SECTION("the host is unresponsive")
    {
        domain.silent["d-h5"] = {domain.hosts[5].incarnation};
    }
    SECTION("the load times out")
    {
        domain.overdue = {"d-h5"};
    }
    CHECK(domain.decide().is_changed);
    CHECK(domain.decide().next.loads.empty());
    CHECK(domain.decide().load_orders.empty());
}

TEST_CASE("domain planner: a healthy open replica needs no action")
{
    const domain_fixture domain;
    CHECK_FALSE(domain.decide().needs_action());
}

TEST_CASE("domain planner: a replica that lost a host is dissolved immediately, however the loss is detected")
{
    domain_fixture domain;
    SECTION("the host restarted")
    {
        domain.hosts[2].incarnation = 999;
    }
    SECTION("the host is unresponsive")
    {
        domain.silent["d-h2"] = {102};
    }
    const auto decision = domain.decide();
    CHECK(decision.is_changed);
    CHECK(decision.has_loss);
    REQUIRE(decision.next.replicas.size() == 1);
    CHECK(decision.next.replicas[0].phase == replica_phase::dissolving);
    CHECK(decision.next.replicas[0].hosts[2].is_lost);
}

TEST_CASE("domain planner: a held replica is not dissolved while its silent host may be sound")
{
    domain_fixture domain;
    domain.held = {"d-5"};
    domain.silent["d-h2"] = {102, domain.now - 300_ms};
    const auto held = domain.decide();
    CHECK_FALSE(held.needs_action());
    CHECK(held.held_replicas == names{"d-5"});
    CHECK(held.unconfirmed_hosts == names{"d-h2"});
    SECTION("the host is silent for longer than a sound one may be")
    {
        domain.silent["d-h2"].since = domain.now - max_sound_silence;
    }
    SECTION("the host's process has ended")
    {
        domain.silent["d-h2"].has_ended = true;
    }
    SECTION("the host has restarted")
    {
        domain.hosts[2].incarnation = 999;
    }
    SECTION("another replica of the model serves")
    {
        domain.held.clear();
    }
    const auto decision = domain.decide();
    CHECK(decision.has_loss);
    REQUIRE(decision.next.replicas.size() == 1);
    CHECK(decision.next.replicas[0].phase == replica_phase::dissolving);
    CHECK(decision.held_replicas.empty());
}

TEST_CASE("domain planner: streams are not cut when a host's entry is removed while the host still serves")
{
    domain_fixture domain;
    domain.hosts.erase(domain.hosts.begin() + 2);
    const auto decision = domain.decide();
    CHECK(decision.is_changed);
    REQUIRE(decision.next.replicas.size() == 1);
    CHECK(decision.next.replicas[0].phase == replica_phase::retiring);
    domain.record = decision.next;
    CHECK_FALSE(domain.decide().needs_action());
    SECTION("the replica's requests have ended")
    {
        domain.finished = {"d-5"};
    }
    SECTION("the host becomes unresponsive")
    {
        domain.silent["d-h2"] = {102};
    }
    CHECK(domain.decide().next.replicas[0].phase == replica_phase::dissolving);
}

TEST_CASE("domain planner: a replica is not formed with a host that is no longer listed")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::forming;
    domain.hosts.erase(domain.hosts.begin() + 2);
    CHECK(domain.decide().next.replicas[0].phase == replica_phase::dissolving);
}

TEST_CASE("domain planner: an unresponsive earlier incarnation of a host is ignored")
{
    domain_fixture domain;
    domain.silent["d-h2"] = {1};
    CHECK_FALSE(domain.decide().needs_action());
}

TEST_CASE("domain planner: hosts of a dissolving replica leave it before they are free")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::dissolving;
    domain.record.replicas[0].hosts[1].is_lost = true;
    domain.hosts[1].incarnation = 999; // It has restarted.
    CHECK(domain.hosts_ordered_to(order_kind::leave) == names{"d-h0", "d-h2", "d-h3"});
    CHECK_FALSE(domain.decide().is_changed);
    CHECK(free_hosts(domain.view()).size() == 5);
    for (auto& host : domain.hosts) {
        host.part.reset();
    }
    CHECK(domain.decide().is_changed);
    CHECK(domain.decide().next.replicas.empty());
}

TEST_CASE("domain planner: an open replica is not dissolved on the word of the host list alone")
{
    domain_fixture domain;
    domain.hosts[1].part = replica_part{"d-4", 4, host_phase::ready};
    domain.hosts[1].is_self_reported = false;
    CHECK_FALSE(domain.decide().is_changed);
    CHECK(domain.decide().unconfirmed_hosts == names{"d-h1"});
    domain.hosts[1].is_self_reported = true;
    CHECK(domain.decide().is_changed);
    CHECK_FALSE(domain.decide().has_loss);
}

TEST_CASE(
    "domain planner: a replica retires when a host is leaving, and dissolves when its requests have ended")
{
    domain_fixture domain;
    domain.hosts[3].is_leaving = true;
    auto decision = domain.decide();
    REQUIRE(decision.is_changed);
    CHECK(decision.next.replicas[0].phase == replica_phase::retiring);
    domain.record = decision.next;
    CHECK_FALSE(domain.decide().needs_action());
    domain.finished.insert("d-5");
    CHECK(domain.decide().next.replicas[0].phase == replica_phase::dissolving);
}

TEST_CASE(
    "domain planner: a forming replica's hosts are ordered to join, its leader to open, then it is open")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::forming;
    for (int i = 0; i < 4; ++i) {
        domain.hosts[static_cast<std::size_t>(i)].part.reset();
    }
    CHECK(domain.hosts_ordered_to(order_kind::join) == names{"d-h0", "d-h1", "d-h2", "d-h3"});
    for (std::size_t i = 0; i < 4; ++i) {
        domain.hosts[i].part = replica_part{"d-5", 5, host_phase::joining};
    }
    CHECK_FALSE(domain.decide().needs_action());
    for (std::size_t i = 0; i < 4; ++i) {
        domain.hosts[i].part->phase = host_phase::ready;
    }
    CHECK(domain.hosts_ordered_to(order_kind::open) == names{"d-h0"});
    domain.hosts[0].part->phase = host_phase::open;
    CHECK(domain.decide().next.replicas[0].phase == replica_phase::open);
}

TEST_CASE("domain planner: a replica is never opened while a host is not ready in this generation")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::forming;
    for (std::size_t i = 0; i < 4; ++i) {
        domain.hosts[i].part = replica_part{"d-5", 5, host_phase::ready};
    }
    SECTION("one is still loading")
    {
        domain.hosts[3].part->phase = host_phase::joining;
    }
    SECTION("one is ready in an older generation")
    {
        domain.hosts[3].part->generation = 4;
    }
    SECTION("one is in no replica")
    {
        domain.hosts[3].part.reset();
    }
    CHECK(domain.hosts_ordered_to(order_kind::open).empty());
}

TEST_CASE("domain planner: a host is ordered to leave another replica before it joins")
{
    domain_fixture domain;
    domain.record.replicas[0].phase = replica_phase::forming;
    domain.hosts[1].part = replica_part{"d-3", 3, host_phase::open};
    CHECK(domain.hosts_ordered_to(order_kind::leave) == names{"d-h1"});
    CHECK(domain.hosts_ordered_to(order_kind::join).empty());
}

TEST_CASE("domain planner: hosts in unrecorded replicas are ordered to leave and not used until then")
{
    domain_fixture domain;
    domain.hosts[8].part = replica_part{"d-2", 2, host_phase::open};
    CHECK(domain.hosts_ordered_to(order_kind::leave) == names{"d-h8"});
    CHECK(free_hosts(domain.view()).size() == 4);
}

TEST_CASE("domain planner: a replica is formed of hosts that hold the model, in a new generation")
{
    domain_fixture domain;
    domain.hosts[4].staged = {"small"};
    const auto models = samples::two_models();
    auto next = domain.record;
    REQUIRE(form_replica(next, domain.view(), models[0], "d", true));
    CHECK(next.last_generation == 6);
    REQUIRE(next.replicas.size() == 2);
    CHECK(next.replicas[1].name == "d-6");
    names members;
    for (const auto& host : next.replicas[1].hosts) {
        members.push_back(host.id);
    }
    CHECK(members == names{"d-h5", "d-h6", "d-h7", "d-h8"});
    CHECK_FALSE(form_replica(next, domain.view(), models[0], "d", true));
}

TEST_CASE("domain planner: a generation that hosts know from a record that was lost is not used again")
{
    domain_fixture domain;
    domain.hosts[4].part = replica_part{"d-8", 8, host_phase::ready};
    auto record = domain.record;
    REQUIRE(form_replica(record, domain.view(), samples::two_models()[0], "d", true));
    CHECK(record.replicas.back().generation == 9);
    CHECK(record.last_generation == 9);
    auto warming = domain.record;
    REQUIRE_FALSE(add_warming_replicas(warming, domain.view(), samples::two_models(), "d").empty());
    CHECK(warming.replicas.back().generation == 9);
}

TEST_CASE("domain planner: leaving and unresponsive hosts are not used for new replicas")
{
    domain_fixture domain;
    domain.hosts[5].is_leaving = true;
    domain.silent["d-h6"] = {106};
    auto next = domain.record;
    CHECK_FALSE(form_replica(next, domain.view(), samples::two_models()[0], "d", false));
    CHECK(form_replica(next, domain.view(), samples::two_models()[1], "d", false));
}

} // namespace coriander
