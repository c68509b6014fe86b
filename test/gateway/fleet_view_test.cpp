#include "gateway/fleet_view.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

/// Four hosts with an open replica of theirs.
struct view_fixture {
    view_fixture()
    {
        auto replica = samples::replica_of(this->hosts, "d-1", 1, replica_phase::open);
        for (const auto& host : this->hosts) {
            this->view.set_host(host, start);
        }
        this->view.set_domain({"assistant", "d"}, {"edge", 1, {replica}, {}}, 10);
    }
    [[nodiscard]] std::size_t targets() const { return this->view.targets_of(samples::assistant()).size(); }

    std::vector<listed_host> hosts = samples::free_hosts_of("d", 4, "large");
    fleet_view view;
};

/// What `d-h0` tells when it belongs to no replica.
host_status word_of_first_host()
{
    host_status status;
    status.incarnation = 100;
    return status;
}

} // namespace

TEST_CASE("fleet view: an open replica whose hosts are all there is a target, by its leader")
{
    const view_fixture fleet;
    const auto targets = fleet.view.targets_of(samples::assistant());
    REQUIRE(targets.size() == 1);
    CHECK(targets[0].id == "d-1");
    CHECK(targets[0].host == "d-h0");
    CHECK(targets[0].model == "large");
    CHECK(targets[0].slots == 26);
}

TEST_CASE("fleet view: a replica that misses any host is no target")
{
    view_fixture fleet;
    SECTION("gone from the list")
    {
        fleet.view.remove_host("d-h3");
    }
    SECTION("silent")
    {
        fleet.view.mark_silent("d-h3");
    }
    SECTION("leaving")
    {
        fleet.hosts[3].is_leaving = true;
        fleet.view.set_host(fleet.hosts[3], start);
    }
    SECTION("started anew")
    {
        fleet.hosts[3].incarnation = 9999;
        fleet.view.set_host(fleet.hosts[3], start);
    }
    SECTION("told that it is broken")
    {
        auto status = word_of_first_host();
        status.part = replica_part{"d-1", 1, host_phase::broken};
        fleet.view.update_host("d-h0", status, start);
    }
    CHECK(fleet.targets() == 0);
}

TEST_CASE("fleet view: that a host's earlier replica broke does not take a sound one out of service")
{
    view_fixture fleet;
    fleet.hosts[3].part = replica_part{"d-0", 0, host_phase::broken};
    fleet.view.set_host(fleet.hosts[3], start);
    CHECK(fleet.targets() == 1);
}

TEST_CASE("fleet view: an older row of a domain is ignored")
{
    view_fixture fleet;
    CHECK_FALSE(fleet.view.set_domain({"assistant", "d"}, {}, 9));
    CHECK(fleet.targets() == 1);
    CHECK(fleet.view.set_domain({"assistant", "d"}, {}, 11));
    CHECK(fleet.targets() == 0);
}

TEST_CASE("fleet view: a host's own word goes before the list until the list must have caught up")
{
    view_fixture fleet;
    auto status = word_of_first_host();
    status.staged = {"small"};
    fleet.view.update_host("d-h0", status, start);
    fleet.view.set_host(fleet.hosts[0], start + 500_ms);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
    fleet.view.set_host(fleet.hosts[0], start + 5_s);
    CHECK(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: what the list told beside a host's own word counts once the word is too old")
{
    view_fixture fleet;
    auto status = word_of_first_host();
    fleet.view.update_host("d-h0", status, start);
    fleet.view.set_host(fleet.hosts[0], start + 500_ms);
    fleet.view.settle(start + 1500_ms);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->is_self_reported);
    fleet.view.settle(start + 3_s);
    CHECK(fleet.view.find_host("d-h0")->part);
    CHECK_FALSE(fleet.view.find_host("d-h0")->is_self_reported);
}

TEST_CASE("fleet view: a host of which the list tells a later replica than its own word has joined it")
{
    view_fixture fleet;
    auto status = word_of_first_host();
    fleet.view.update_host("d-h0", status, start);
    fleet.hosts[0].part = replica_part{"d-2", 2, host_phase::joining};
    fleet.view.set_host(fleet.hosts[0], start + 100_ms);
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->replica == "d-2");
}

TEST_CASE("fleet view: an answer to an older question does not replace a host's last word")
{
    view_fixture fleet;
    auto status = word_of_first_host();
    fleet.view.update_host("d-h0", status, start + 100_ms);
    status.part = replica_part{"d-1", 1, host_phase::open};
    fleet.view.update_host("d-h0", status, start);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: a host stays warm for its last replica's model until it starts anew")
{
    view_fixture fleet;
    CHECK(fleet.view.find_host("d-h3")->warm_model == "large");
    fleet.view.leave_host("d-h3", "d-1", 1, start);
    fleet.hosts[3].part.reset();
    fleet.view.set_host(fleet.hosts[3], start + 5_s);
    CHECK(fleet.view.find_host("d-h3")->warm_model == "large");
    fleet.hosts[3].incarnation = 9999;
    fleet.view.set_host(fleet.hosts[3], start + 6_s);
    CHECK(fleet.view.find_host("d-h3")->warm_model.empty());
}

TEST_CASE("fleet view: progress of a host in its replica is not held back by an earlier word of its own")
{
    view_fixture fleet;
    auto status = word_of_first_host();
    status.part = replica_part{"d-2", 2, host_phase::joining};
    fleet.view.update_host("d-h0", status, start);
    fleet.hosts[0].part = replica_part{"d-2", 2, host_phase::ready};
    fleet.view.set_host(fleet.hosts[0], start + 100_ms);
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->phase == host_phase::ready);
    // A report lags behind the list.
    fleet.view.update_host("d-h0", status, start + 150_ms);
    CHECK(fleet.view.find_host("d-h0")->part->phase == host_phase::ready);
}

TEST_CASE("fleet view: a host that was ordered out of a replica is free, unless it has joined another")
{
    view_fixture fleet;
    fleet.view.leave_host("d-h3", "d-2", 2, start);
    CHECK(fleet.view.find_host("d-h3")->part);
    fleet.view.leave_host("d-h3", "d-1", 1, start);
    CHECK_FALSE(fleet.view.find_host("d-h3")->part);
    // The list lags behind.
    fleet.view.set_host(fleet.hosts[3], start + 1_s);
    CHECK_FALSE(fleet.view.find_host("d-h3")->part);
}

TEST_CASE("fleet view: the word of an earlier start of a host is ignored")
{
    view_fixture fleet;
    host_status status;
    status.incarnation = 1;
    fleet.view.update_host("d-h0", status, start);
    CHECK(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: silence ends with a host's next start")
{
    view_fixture fleet;
    fleet.view.mark_silent("d-h1");
    CHECK(fleet.view.is_silent("d-h1"));
    fleet.hosts[1].incarnation = 500;
    fleet.view.set_host(fleet.hosts[1], start);
    CHECK_FALSE(fleet.view.is_silent("d-h1"));
}

TEST_CASE("fleet view: hosts of a plain service are targets themselves, unless they leave")
{
    fleet_view view;
    for (auto host : samples::free_hosts_of("", 3)) {
        host.service = "desk";
        host.is_leaving = host.id == "-h1";
        view.set_host(host, start);
    }
    relay_service desk;
    desk.name = "desk";
    CHECK(view.targets_of(desk).size() == 2);
}

TEST_CASE("fleet view: keys of rows name service and domain")
{
    CHECK(parse_domain_key("a/b/c") == domain_key{"a", "b/c"});
    CHECK_FALSE(parse_domain_key("ab"));
    CHECK_FALSE(parse_domain_key("/b"));
    CHECK_FALSE(parse_domain_key("a/"));
}

} // namespace coriander
