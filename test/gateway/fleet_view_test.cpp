#include "gateway/fleet_view.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

/// Four hosts that form an open replica.
struct view_fixture {
    view_fixture()
    {
        auto replica = samples::replica_of(this->hosts, "d-1", 1, replica_phase::open);
        for (const auto& host : this->hosts) {
            this->view.set_host(host, start);
        }
        this->view.set_domain({"assistant", "d"}, {"edge", 1, {replica}, {}}, {0, 10});
    }
    [[nodiscard]] std::size_t targets() const
    {
        return this->view.targets_of(samples::assistant(), start).size();
    }

    std::vector<listed_host> hosts = samples::free_hosts_of("d", 4, "large");
    fleet_view view;
};

/// The report of `d-h0` when it belongs to no replica.
host_status status_of_free_host()
{
    host_status status;
    status.incarnation = 100;
    return status;
}

} // namespace

TEST_CASE("fleet view: an open replica with all its hosts is a target, addressed by its leader")
{
    const view_fixture fleet;
    const auto targets = fleet.view.targets_of(samples::assistant(), start);
    REQUIRE(targets.size() == 1);
    CHECK(targets[0].id == "d-1");
    CHECK(targets[0].host == "d-h0");
    CHECK(targets[0].model == "large");
    CHECK(targets[0].slots == 26);
}

TEST_CASE("fleet view: a replica with an unavailable host is no target")
{
    view_fixture fleet;
    SECTION("no longer listed")
    {
        fleet.view.remove_host("d-h3");
    }
    SECTION("silent")
    {
        fleet.view.mark_silent("d-h3", 0_s);
    }
    SECTION("leaving")
    {
        fleet.hosts[3].is_leaving = true;
        fleet.view.set_host(fleet.hosts[3], start);
    }
    SECTION("restarted")
    {
        fleet.hosts[3].incarnation = 9999;
        fleet.view.set_host(fleet.hosts[3], start);
    }
    SECTION("reported its replica as broken")
    {
        auto status = status_of_free_host();
        status.part = replica_part{"d-1", 1, host_phase::broken};
        fleet.view.update_host("d-h0", status, start);
    }
    CHECK(fleet.targets() == 0);
}

TEST_CASE("fleet view: the only replica of a model stays a target while its silent host may be sound")
{
    view_fixture fleet;
    fleet.view.mark_silent("d-h3", start);
    const auto targets = fleet.view.targets_of(samples::assistant(), start + 1_s);
    REQUIRE(targets.size() == 1);
    CHECK(targets[0].is_held);
    CHECK(fleet.view.held_replicas("assistant", start + 1_s) == std::set<std::string>{"d-1"});
    SECTION("the host is silent for longer than a sound one may be")
    {
        const auto before = fleet.view.change_count();
        fleet.view.expire_reports(start + max_sound_silence);
        CHECK(fleet.view.change_count() != before);
        CHECK(fleet.view.targets_of(samples::assistant(), start + max_sound_silence).empty());
    }
    SECTION("the host's process has ended")
    {
        fleet.view.mark_ended("d-h3");
        CHECK(fleet.targets() == 0);
    }
    SECTION("the host answers")
    {
        fleet.view.clear_silent("d-h3");
        CHECK_FALSE(fleet.view.targets_of(samples::assistant(), start + 1_s)[0].is_held);
    }
    SECTION("another replica of the model serves")
    {
        auto others = samples::free_hosts_of("e", 4, "large");
        const auto replica = samples::replica_of(others, "e-1", 1, replica_phase::open);
        for (const auto& host : others) {
            fleet.view.set_host(host, start);
        }
        fleet.view.set_domain({"assistant", "e"}, {"edge", 1, {replica}, {}}, {0, 11});
        const auto serving = fleet.view.targets_of(samples::assistant(), start + 1_s);
        REQUIRE(serving.size() == 1);
        CHECK(serving[0].id == "e-1");
    }
}

TEST_CASE("fleet view: a host whose earlier replica broke does not take a healthy one out of service")
{
    view_fixture fleet;
    fleet.hosts[3].part = replica_part{"d-0", 0, host_phase::broken};
    fleet.view.set_host(fleet.hosts[3], start);
    CHECK(fleet.targets() == 1);
}

TEST_CASE("fleet view: an older row of a domain is ignored")
{
    view_fixture fleet;
    CHECK_FALSE(fleet.view.set_domain({"assistant", "d"}, {}, {0, 9}));
    CHECK(fleet.targets() == 1);
    CHECK(fleet.view.set_domain({"assistant", "d"}, {}, {0, 11}));
    CHECK(fleet.targets() == 0);
}

TEST_CASE(
    "fleet view: a restored table's older record does not replace the known one, which is to be written")
{
    view_fixture fleet;
    const domain_key key{"assistant", "d"};
    auto record = fleet.view.domain(key).record;
    record.revision = 4;
    fleet.view.set_domain(key, record, {1, 20});
    const auto has_row = GENERATE(true, false);
    CAPTURE(has_row);
    if (has_row) {
        fleet.view.set_domain(key, {"edge", 0, {}, {}, 3}, {2, 8});
    }
    fleet.view.mark_lost_domains(2, start);
    CHECK(fleet.targets() == 1);
    CHECK(fleet.view.domain(key).is_lost);
    CHECK(fleet.view.domain(key).version == row_version{2, has_row ? 8U : 0U});
    // A row that was written after the restore is newer than any before it.
    fleet.view.set_domain(key, {"edge", 1, {}, {}, 4}, {2, 9});
    CHECK(fleet.targets() == 0);
    CHECK_FALSE(fleet.view.domain(key).is_lost);
}

TEST_CASE("fleet view: a record that a build without revisions wrote is newer than a restored table's copy")
{
    view_fixture fleet;
    const domain_key key{"assistant", "d"};
    auto record = fleet.view.domain(key).record;
    record.revision = 7;
    fleet.view.set_domain(key, record, {1, 20});
    record.owner = "older";
    record.revision = 0;
    fleet.view.set_domain(key, record, {1, 21});
    REQUIRE(fleet.view.domain(key).record.owner == "older");
    fleet.view.set_domain(key, {"edge", 1, {}, {}, 7, 1}, {2, 8}); // The copy of the table.
    CHECK(fleet.view.domain(key).record.owner == "older");
    CHECK(fleet.view.domain(key).is_lost);
}

TEST_CASE("fleet view: a row with a version that was given out again is applied unless it is older")
{
    view_fixture fleet;
    fleet.view.set_domain({"assistant", "d"}, {"edge", 2, {}, {}, 9}, {1, 5});
    CHECK(fleet.targets() == 0);
}

TEST_CASE("fleet view: a host's report takes precedence over the list until the list must have caught up")
{
    view_fixture fleet;
    auto status = status_of_free_host();
    status.staged = {"small"};
    fleet.view.update_host("d-h0", status, start);
    fleet.view.set_host(fleet.hosts[0], start + 500_ms);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
    fleet.view.set_host(fleet.hosts[0], start + 5_s);
    CHECK(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: a list entry received after a host's report is applied once the report expires")
{
    view_fixture fleet;
    auto status = status_of_free_host();
    fleet.view.update_host("d-h0", status, start);
    fleet.view.set_host(fleet.hosts[0], start + 500_ms);
    fleet.view.expire_reports(start + 1500_ms);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->is_self_reported);
    fleet.view.expire_reports(start + 3_s);
    CHECK(fleet.view.find_host("d-h0")->part);
    CHECK_FALSE(fleet.view.find_host("d-h0")->is_self_reported);
}

TEST_CASE("fleet view: a list entry with a newer replica than the host's report is applied at once")
{
    view_fixture fleet;
    auto status = status_of_free_host();
    fleet.view.update_host("d-h0", status, start);
    fleet.hosts[0].part = replica_part{"d-2", 2, host_phase::joining};
    fleet.view.set_host(fleet.hosts[0], start + 100_ms);
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->replica == "d-2");
}

TEST_CASE("fleet view: the answer to an earlier request does not replace a host's last report")
{
    view_fixture fleet;
    auto status = status_of_free_host();
    fleet.view.update_host("d-h0", status, start + 100_ms);
    status.part = replica_part{"d-1", 1, host_phase::open};
    fleet.view.update_host("d-h0", status, start);
    CHECK_FALSE(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: a host stays warm for its last replica's model until it restarts")
{
    view_fixture fleet;
    CHECK(fleet.view.find_host("d-h3")->warm_model == "large");
    fleet.view.on_host_left("d-h3", "d-1", 1, start);
    fleet.hosts[3].part.reset();
    fleet.view.set_host(fleet.hosts[3], start + 5_s);
    CHECK(fleet.view.find_host("d-h3")->warm_model == "large");
    fleet.hosts[3].incarnation = 9999;
    fleet.view.set_host(fleet.hosts[3], start + 6_s);
    CHECK(fleet.view.find_host("d-h3")->warm_model.empty());
}

TEST_CASE("fleet view: an earlier report does not hide a host's later phase in its replica")
{
    view_fixture fleet;
    auto status = status_of_free_host();
    status.part = replica_part{"d-2", 2, host_phase::joining};
    fleet.view.update_host("d-h0", status, start);
    fleet.hosts[0].part = replica_part{"d-2", 2, host_phase::ready};
    fleet.view.set_host(fleet.hosts[0], start + 100_ms);
    REQUIRE(fleet.view.find_host("d-h0")->part);
    CHECK(fleet.view.find_host("d-h0")->part->phase == host_phase::ready);
    // A report that is older than the list entry.
    fleet.view.update_host("d-h0", status, start + 150_ms);
    CHECK(fleet.view.find_host("d-h0")->part->phase == host_phase::ready);
}

TEST_CASE("fleet view: a host that left its replica on order is free, unless it has joined another")
{
    view_fixture fleet;
    fleet.view.on_host_left("d-h3", "d-2", 2, start);
    CHECK(fleet.view.find_host("d-h3")->part);
    fleet.view.on_host_left("d-h3", "d-1", 1, start);
    CHECK_FALSE(fleet.view.find_host("d-h3")->part);
    // The list lags behind.
    fleet.view.set_host(fleet.hosts[3], start + 1_s);
    CHECK_FALSE(fleet.view.find_host("d-h3")->part);
}

TEST_CASE("fleet view: a report of an earlier incarnation of a host is ignored")
{
    view_fixture fleet;
    host_status status;
    status.incarnation = 1;
    fleet.view.update_host("d-h0", status, start);
    CHECK(fleet.view.find_host("d-h0")->part);
}

TEST_CASE("fleet view: a host that was leaving gets no work again when a restored list shows it as ready")
{
    view_fixture fleet;
    auto leaving = fleet.hosts[3];
    leaving.is_leaving = true;
    fleet.view.set_host(leaving, start);
    const auto has_report = GENERATE(true, false);
    CAPTURE(has_report);
    if (has_report) {
        host_status status;
        status.incarnation = leaving.incarnation;
        status.part = leaving.part;
        fleet.view.update_host(leaving.id, status, start + 50_ms);
    }
    fleet.view.set_host(fleet.hosts[3], start + 100_ms);
    CHECK(fleet.view.find_host(leaving.id)->is_leaving);
    fleet.view.expire_reports(start + 5_s);
    CHECK(fleet.view.find_host(leaving.id)->is_leaving);
    fleet.hosts[3].incarnation = 9999;
    fleet.view.set_host(fleet.hosts[3], start + 6_s);
    CHECK_FALSE(fleet.view.find_host(leaving.id)->is_leaving);
}

TEST_CASE("fleet view: a silent host that restarts is no longer silent")
{
    view_fixture fleet;
    fleet.view.mark_silent("d-h1", 0_s);
    CHECK(fleet.view.is_silent("d-h1"));
    fleet.hosts[1].incarnation = 500;
    fleet.view.set_host(fleet.hosts[1], start);
    CHECK_FALSE(fleet.view.is_silent("d-h1"));
}

TEST_CASE("fleet view: hosts of a service without an engine are targets themselves, unless they are leaving")
{
    fleet_view view;
    for (auto host : samples::free_hosts_of("", 3)) {
        host.service = "desk";
        host.is_leaving = host.id == "-h1";
        view.set_host(host, start);
    }
    relay_service desk;
    desk.name = "desk";
    CHECK(view.targets_of(desk, start).size() == 2);
}

TEST_CASE("fleet view: a host that stated that it leaves is leaving whatever the list shows afterwards")
{
    target_statements statements;
    fleet_view view{statements};
    auto hosts = samples::free_hosts_of("d", 4, "large");
    const auto replica = samples::replica_of(hosts, "d-1", 1, replica_phase::open);
    for (const auto& host : hosts) {
        view.set_host(host, start);
    }
    view.set_domain({"assistant", "d"}, {"edge", 1, {replica}, {}}, row_version{0, 10});
    const auto before = view.change_count();
    auto& member = hosts[2];
    statements.on_leaving(key_of_host(member.id, member.incarnation, member.address), start);
    view.apply_statements();
    CHECK(view.change_count() != before);
    CHECK(view.targets_of(samples::assistant(), start).empty()); // The whole replica.
    SECTION("the list still shows it as ready")
    {
        view.set_host(member, start + 1_s);
    }
    SECTION("its own report takes precedence over the list, and expires")
    {
        auto status = status_of_free_host();
        status.incarnation = member.incarnation;
        status.part = member.part;
        view.update_host(member.id, status, start + 1_s);
        view.set_host(member, start + 2_s);
        CHECK(view.find_host(member.id)->is_leaving);
        view.expire_reports(start + 10_s);
    }
    SECTION("the list lost it, and shows it again")
    {
        view.remove_host(member.id);
        view.set_host(member, start + 60_s);
    }
    SECTION("a new incarnation, and then an old copy of the list")
    {
        auto next = member;
        next.incarnation += 1000;
        view.set_host(next, start + 1_s);
        CHECK_FALSE(view.find_host(member.id)->is_leaving);
        view.set_host(member, start + 2_s);
    }
    SECTION("another address, and then an old copy of the list")
    {
        auto next = member;
        next.address = "127.0.0.1:9999";
        view.set_host(next, start + 1_s);
        CHECK_FALSE(view.find_host(member.id)->is_leaving);
        view.set_host(member, start + 2_s);
    }
    CHECK(view.find_host(member.id)->is_leaving);
    CHECK(view.targets_of(samples::assistant(), start).empty());
}

TEST_CASE("fleet view: row keys consist of service and domain")
{
    CHECK(parse_domain_key("a/b/c") == domain_key{"a", "b/c"});
    CHECK_FALSE(parse_domain_key("ab"));
    CHECK_FALSE(parse_domain_key("/b"));
    CHECK_FALSE(parse_domain_key("a/"));
}

TEST_CASE("fleet view: a host that is leaving gets no requests because a restored store has its older row")
{
    view_fixture fleet;
    auto leaving = fleet.hosts.front();
    leaving.is_leaving = true;
    fleet.view.set_host(leaving, start);
    REQUIRE(fleet.targets() == 0);
    fleet.view.set_host(fleet.hosts.front(), start + 1_s);
    CHECK(fleet.targets() == 0);
}

TEST_CASE(
    "fleet view: a row that was written after a restore is not replaced by a daemon that was away meanwhile")
{
    view_fixture fleet;
    const domain_key key{"assistant", "d"};
    auto record = fleet.view.domain(key).record;
    record.revision = 7;
    fleet.view.set_domain(key, record, {1, 20});
    fleet.view.set_domain(key, {"other", 1, {}, {}, 5, 2}, {2, 9});
    CHECK(fleet.view.domain(key).record.owner == "other");
}

TEST_CASE("fleet view: the cold time of a host counts from the receipt of its entry, for this incarnation")
{
    view_fixture fleet;
    auto host = fleet.hosts.front();
    host.cold_left = 3_s;
    fleet.view.set_host(host, start);
    CHECK(fleet.view.find_host(host.id)->cold_until == start + 3_s);
    SECTION("an entry that is read again says nothing new")
    {
        fleet.view.set_host(host, start + 2_s);
        CHECK(fleet.view.find_host(host.id)->cold_until == start + 3_s);
    }
    SECTION("a newer entry does")
    {
        host.cold_left = 2500_ms;
        fleet.view.set_host(host, start + 2_s);
        CHECK(fleet.view.find_host(host.id)->cold_until == start + 4500_ms);
        host.cold_left = {};
        fleet.view.set_host(host, start + 3_s);
        CHECK(fleet.view.find_host(host.id)->cold_until == time_ms{});
    }
    SECTION("so does one of another incarnation")
    {
        ++host.incarnation;
        fleet.view.set_host(host, start + 2_s);
        CHECK(fleet.view.find_host(host.id)->cold_until == start + 5_s);
    }
}

} // namespace coriander
