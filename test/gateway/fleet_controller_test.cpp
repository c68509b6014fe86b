#include "gateway/fleet_controller.hpp"

#include "support/fleet_fixture.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <set>

namespace coriander {
namespace {

/// A mock of the controller's I/O.
class mock_io {
public:
    MAKE_MOCK4(commit,
               void(const domain_key&, const domain_record&, row_version, std::function<void(commit_state)>));
    MAKE_MOCK3(order, void(const listed_host&, const host_order&, std::function<void(order_answer)>));
    MAKE_MOCK2(request_status, void(const listed_host&, std::function<void(std::optional<host_status>)>));
    MAKE_MOCK3(probe, void(const listed_host&, time_ms, std::function<void(std::optional<host_status>)>));
    MAKE_MOCK3(check_port, void(const listed_host&, time_ms, std::function<void(port_state)>));
    MAKE_CONST_MOCK0(daemons, std::vector<std::string>());
};

} // namespace

TEST_CASE("fleet controller: free hosts become open replicas, whichever daemon acts")
{
    fleet_fixture fleet{3};
    fleet.run(8_s);
    CHECK(fleet.open_replicas() >= 2);
    CHECK_FALSE(fleet.record().owner.empty());
    for (const auto& replica : fleet.record().replicas) {
        CHECK(fleet.world.hosts.at(replica.hosts.front().id).part->phase == host_phase::open);
    }
}

TEST_CASE("fleet controller: no replica is planned while hosts are still appearing")
{
    fleet_fixture fleet{1};
    fleet.run(1_s);
    CHECK(fleet.record().replicas.empty());
    fleet.run(4_s);
    CHECK_FALSE(fleet.record().replicas.empty());
}

TEST_CASE("fleet controller: no order is sent before its record is committed")
{
    mock_io io;
    fleet_view view;
    fleet_controller<mock_io> control{io, view, "edge-0"};
    control.set_cheap_loads(true);
    time_ms now = 1'000'000_ms;
    for (const auto& host : samples::free_hosts_of("d", 4)) {
        view.set_host(host, now);
    }
    ALLOW_CALL(io, daemons()).RETURN(std::vector<std::string>{"edge-0"});
    FORBID_CALL(
        io, order(ANY(const listed_host&), ANY(const host_order&), ANY(std::function<void(order_answer)>)));
    REQUIRE_CALL(io, commit(ANY(const domain_key&), ANY(const domain_record&), row_version{},
                            ANY(std::function<void(commit_state)>)))
        .WITH(_1.row_key() == "assistant/d" && _2.owner == "edge-0" && _2.replicas.size() == 1);
    const auto service = samples::assistant();
    control.tick(service, now + 2_s);
    control.tick(service, now + 3_s); // The commit is still in flight: nothing else is sent.
}

TEST_CASE("fleet controller: a host gets a join order only after it has reported its state")
{
    mock_io io;
    fleet_view view;
    fleet_controller<mock_io> control{io, view, "edge-0"};
    const time_ms now = 1'000'000_ms;
    auto hosts = samples::free_hosts_of("d", 4);
    auto replica = samples::replica_of(hosts, "d-1", 1, replica_phase::forming);
    for (auto host : hosts) {
        host.part.reset();
        view.set_host(host, now);
    }
    view.set_domain({"assistant", "d"}, {"edge-0", 1, {replica}, {}}, {0, 7});
    std::vector<std::function<void(std::optional<host_status>)>> answers;
    ALLOW_CALL(io, daemons()).RETURN(std::vector<std::string>{"edge-0"});
    const auto service = samples::assistant();
    {
        FORBID_CALL(io, order(ANY(const listed_host&), ANY(const host_order&),
                              ANY(std::function<void(order_answer)>)));
        REQUIRE_CALL(
            io, request_status(ANY(const listed_host&), ANY(std::function<void(std::optional<host_status>)>)))
            .TIMES(4)
            .LR_SIDE_EFFECT(answers.push_back(_2));
        control.tick(service, now);
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        host_status status;
        status.incarnation = 100 + i;
        if (i == 3) {
            status.part = replica_part{"d-0", 0, host_phase::open}; // Not shown by the list.
        }
        answers[i](status);
    }
    ALLOW_CALL(io,
               request_status(ANY(const listed_host&), ANY(std::function<void(std::optional<host_status>)>)));
    std::map<std::string, order_kind> orders;
    REQUIRE_CALL(
        io, order(ANY(const listed_host&), ANY(const host_order&), ANY(std::function<void(order_answer)>)))
        .TIMES(4)
        .LR_SIDE_EFFECT(orders[_2.host] = _2.kind);
    control.tick(service, now + 100_ms);
    CHECK(orders.at("d-h0") == order_kind::join);
    CHECK(orders.at("d-h3") == order_kind::leave);
}

TEST_CASE("fleet controller: another daemon takes over when the owner is killed")
{
    fleet_fixture fleet{3};
    fleet.run_until_planned();
    auto& killed = fleet.owner();
    const auto former_owner = fleet.record().owner;
    killed.is_alive = false;
    killed.io.drop();
    SECTION("and is known to be dead")
    {
        std::erase(fleet.world.daemons, former_owner);
    }
    SECTION("and is still considered alive") {}
    fleet.run(8_s);
    CHECK(fleet.record().owner != former_owner);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: an owner that cannot reach the table does not block its domain")
{
    fleet_fixture fleet{3};
    fleet.run_until_planned();
    const auto former_owner = fleet.record().owner;
    fleet.owner().io.reaches_table = false;
    std::erase(fleet.world.daemons, former_owner);
    fleet.run(4_s);
    CHECK(fleet.record().owner != former_owner);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: after a lost commit answer the row shows whether the commit was applied")
{
    fleet_fixture fleet{1};
    fleet.daemons[0]->io.loses_commit_answers = true;
    fleet.run(12_s);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: a replica that lost a host is re-formed from surviving and spare hosts")
{
    fleet_fixture fleet{2};
    fleet.run(8_s);
    for (auto& one : fleet.daemons) {
        one->control.set_cheap_loads(false);
    }
    const auto before = fleet.open_replicas();
    fleet.run(30_s); // Idle hosts load the models that they are likely to run.
    const auto lost = fleet.record().replicas.front();
    fleet.world.hosts.erase(lost.hosts.back().id);
    fleet.run(1_s);
    for (const auto& replica : fleet.record().replicas) {
        CHECK(replica.name != lost.name);
    }
    fleet.run(60_s);
    CHECK(fleet.open_replicas() >= before - 1);
}

TEST_CASE(
    "fleet controller: orders to leave do not cut streams when a host is silent for a second and goes on")
{
    fleet_fixture fleet{2, 12};
    fleet.run(8_s);
    const auto replica = fleet.record().replicas.front();
    REQUIRE(fleet.open_replicas(replica.model) >= 2); // The only one of its model would be held.
    const auto leave_orders = [&] {
        return std::count_if(fleet.world.orders.begin(), fleet.world.orders.end(),
                             [&](const host_order& one) {
                                 return one.kind == order_kind::leave && one.replica == replica.name;
                             });
    };
    fleet.world.running[replica.hosts.front().id] = 3;
    bool are_kept = true;
    const auto run = [&](time_ms length) {
        for (const auto end = fleet.now + length; fleet.now < end;) {
            if (are_kept) {
                fleet.owner().control.on_kept_requests({"assistant/d", replica.name}, fleet.now);
            }
            fleet.step();
        }
    };
    const auto is_leader = GENERATE(true, false);
    CAPTURE(is_leader);
    const auto silent = is_leader ? replica.hosts.front().id : replica.hosts.back().id;
    fleet.world.unreachable = {silent};
    fleet.owner().view.mark_silent(silent, fleet.now);
    run(1_s);
    REQUIRE(fleet.record().replicas.front().name == replica.name);
    CHECK(fleet.record().replicas.front().phase == replica_phase::dissolving);
    CHECK(leave_orders() == 0);
    SECTION("it answers, and the streams end")
    {
        fleet.world.unreachable.clear();
        run(5_s);
        CHECK(leave_orders() == 0);
        fleet.world.running.clear();
    }
    SECTION("it answers, but the streams do not end")
    {
        fleet.world.unreachable.clear();
        run(10_s);
    }
    SECTION("it stays silent, and no daemon keeps streams there any more, although the leader counts them")
    {
        are_kept = false;
        run(400_ms);
        CHECK(leave_orders() >= 3);
    }
    SECTION("it stays silent") {}
    SECTION("its process has ended")
    {
        fleet.world.ended = {silent};
        run(400_ms);
        CHECK(leave_orders() >= 3);
    }
    run(1_s);
    CHECK(leave_orders() >= 3);
}

TEST_CASE("fleet controller: orders to leave do not cut streams of a daemon whose build doesn't report them")
{
    fleet_fixture fleet{2, 12};
    fleet.run(8_s);
    const auto replica = fleet.record().replicas.front();
    REQUIRE(fleet.open_replicas(replica.model) >= 2); // The only one of its model would be held.
    const auto do_all_report = GENERATE(true, false);
    CAPTURE(do_all_report);
    fleet.owner().control.set_report_check([do_all_report] { return do_all_report; });
    fleet.world.running[replica.hosts.front().id] = 3;
    const auto silent = replica.hosts.back().id;
    fleet.world.unreachable = {silent};
    fleet.owner().view.mark_silent(silent, fleet.now);
    const auto leave_orders = [&] {
        return std::count_if(fleet.world.orders.begin(), fleet.world.orders.end(),
                             [&](const host_order& one) {
                                 return one.kind == order_kind::leave && one.replica == replica.name;
                             });
    };
    fleet.run(1_s);
    CHECK((leave_orders() > 0) == do_all_report);
    fleet.run(1_s); // The host has been silent for longer than a sound one may be.
    CHECK(leave_orders() >= 3);
}

TEST_CASE("fleet controller: the only replica of a model outlives a second of silence of one of its hosts")
{
    fleet_fixture fleet{2};
    fleet.run(8_s);
    const auto replica = fleet.record().replicas.front();
    REQUIRE(fleet.open_replicas(replica.model) == 1);
    const auto silent = GENERATE(std::size_t{0}, std::size_t{2});
    const auto& host = replica.hosts[silent].id;
    const auto orders = fleet.world.orders.size();
    fleet.world.unreachable = {host};
    fleet.owner().view.mark_silent(host, fleet.now);
    fleet.run(800_ms);
    const auto current_phase = [&] {
        for (const auto& one : fleet.record().replicas) {
            if (one.name == replica.name) {
                return one.phase;
            }
        }
        return replica_phase::dissolving;
    };
    CHECK(current_phase() == replica_phase::open);
    SECTION("the host goes on")
    {
        fleet.world.unreachable.clear();
        fleet.run(5_s);
        CHECK_FALSE(fleet.owner().view.is_silent(host));
        CHECK(current_phase() == replica_phase::open);
        CHECK(fleet.world.orders.size() == orders);
    }
    SECTION("the host stays silent")
    {
        fleet.run(900_ms);
        CHECK(current_phase() == replica_phase::dissolving);
    }
    SECTION("the host's process has ended")
    {
        fleet.world.ended = {host};
        fleet.run(400_ms);
        CHECK(current_phase() == replica_phase::dissolving);
    }
}

TEST_CASE(
    "fleet controller: a daemon's old evidence does not dissolve a replica whose host answered the owner")
{
    fleet_fixture fleet{2};
    fleet.run(8_s);
    const auto replica = fleet.record().replicas.front();
    const auto& host = replica.hosts.back().id;
    for (auto& one : fleet.daemons) {
        if (one.get() != &fleet.owner()) {
            one->view.mark_silent(host, fleet.now - max_sound_silence);
        }
    }
    fleet.run(1_s);
    const auto current = fleet.record().replicas;
    CHECK(std::any_of(current.begin(), current.end(), [&](const replica_entry& one) {
        return one.name == replica.name && one.phase == replica_phase::open;
    }));
}

TEST_CASE(
    "fleet controller: a host's stale report does not dissolve a healthy replica that it has since joined")
{
    fleet_fixture fleet{2};
    fleet.run_until_planned();
    const auto planned = fleet.record().replicas;
    auto& other = fleet.daemons[0].get() == &fleet.owner() ? *fleet.daemons[1] : *fleet.daemons[0];
    for (const auto& [id, host] : fleet.world.hosts) {
        host_status free;
        free.incarnation = host.incarnation;
        other.view.update_host(id, free, fleet.now);
    }
    fleet.run(10_s);
    CAPTURE(fleet.open_replicas());
    const auto dissolved =
        std::count_if(fleet.world.orders.begin(), fleet.world.orders.end(), [&](const host_order& order) {
            return order.kind == order_kind::leave &&
                   std::any_of(planned.begin(), planned.end(),
                               [&](const replica_entry& one) { return one.name == order.replica; });
        });
    CHECK(dissolved == 0);
    CHECK(fleet.record().replicas.front().name == planned.front().name);
}

TEST_CASE(
    "fleet controller: a host that answers probes is not treated as lost when it does not answer orders")
{
    fleet_fixture fleet{2};
    fleet.run_until_planned();
    const auto planned = fleet.record().replicas.front();
    fleet.world.ignores_orders = {planned.hosts.back().id};
    fleet.run(2500_ms);
    CHECK_FALSE(fleet.owner().view.is_silent(planned.hosts.back().id));
    fleet.world.ignores_orders.clear();
    fleet.run(3_s);
    CHECK(fleet.record().replicas.front().name == planned.name);
    CHECK(fleet.record().replicas.front().phase == replica_phase::open);
}

TEST_CASE("fleet controller: the records that a restored table has lost are written again by their owner")
{
    fleet_fixture fleet{3};
    fleet.run_until_planned();
    const auto copy = fleet.world.rows;
    fleet.run(8_s);
    const auto before = fleet.record();
    REQUIRE(fleet.open_replicas() >= 2);
    const auto is_in_copy = GENERATE_COPY(true, false);
    CAPTURE(is_in_copy);
    fleet.restore(is_in_copy ? copy : decltype(copy){});
    const auto orders = fleet.world.orders.size();
    fleet.run(1_s);
    CHECK(fleet.record().owner == before.owner);
    CHECK(fleet.record().last_generation == before.last_generation);
    REQUIRE(fleet.open_replicas() >= 2);
    CHECK(fleet.world.orders.size() == orders);
    // The domain can be changed again: a lost host is replaced.
    fleet.world.unreachable = {fleet.record().replicas.front().hosts.back().id};
    fleet.world.hosts.erase(fleet.world.unreachable.front());
    fleet.run(10_s);
    CHECK(fleet.record().revision > before.revision + 1);
}

TEST_CASE(
    "fleet controller: an owner that starts after a restore does not dissolve replicas that the copy lacks")
{
    fleet_fixture fleet{3};
    fleet.run(8_s);
    const auto before = fleet.record();
    REQUIRE(fleet.open_replicas() >= 2);
    auto copy = fleet.world.rows;
    copy.at("assistant/d").record = {before.owner, 0, {}, {}, 1};
    fleet.restore(copy);
    auto& owner = fleet.daemons[static_cast<std::size_t>(before.owner.back() - '0')];
    owner = std::make_unique<fleet_fixture::daemon>(fleet.world, before.owner);
    const auto orders = fleet.world.orders.size();
    fleet.run(8_s);
    CHECK(fleet.world.orders.size() == orders);
    CHECK(fleet.record().last_generation == before.last_generation);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: no host belongs to two replicas under random losses and kills")
{
    rc::prop("random schedules of three daemons", []() {
        fleet_fixture fleet{3};
        for (int i = 0; i < 60; ++i) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0: {
                auto& one = *fleet.daemons[*rc::gen::inRange<std::size_t>(0, 3)];
                one.is_alive = !one.is_alive;
                one.io.drop();
                break;
            }
            case 1: {
                auto& one = *fleet.daemons[*rc::gen::inRange<std::size_t>(0, 3)];
                one.io.loses_commit_answers = !one.io.loses_commit_answers;
                break;
            }
            case 2: {
                const auto id = "d-h" + std::to_string(*rc::gen::inRange(0, 9));
                if (fleet.world.hosts.contains(id)) { // It restarts without state.
                    fleet.world.hosts[id].incarnation += 1000;
                    fleet.world.hosts[id].part.reset();
                }
                break;
            }
            case 3: {
                const auto id = "d-h" + std::to_string(*rc::gen::inRange(0, 9));
                fleet.world.unreachable = {id};
                break;
            }
            default:
                break;
            }
            fleet.step(time_ms{*rc::gen::inRange(20, 700)});
            RC_ASSERT(fleet.world.double_joins == 0U);
            std::map<std::string, std::set<std::uint64_t>> generations;
            for (const auto& replica : fleet.record().replicas) {
                RC_ASSERT(generations[replica.name].insert(replica.generation).second);
                if (replica.phase != replica_phase::open) {
                    continue;
                }
                for (const auto& other : fleet.record().replicas) {
                    for (const auto& host : other.hosts) {
                        const bool is_shared =
                            other.name != replica.name &&
                            std::any_of(replica.hosts.begin(), replica.hosts.end(),
                                        [&](const replica_host& one) { return one.id == host.id; });
                        RC_ASSERT(!is_shared);
                    }
                }
            }
        }
    });
}

TEST_CASE(
    "fleet controller: a daemon that isn't among the controllers takes over from none, and owns what it owns")
{
    fleet_fixture fleet{2};
    fleet.world.daemons = {"edge-0"};
    fleet.run(8_s);
    REQUIRE(fleet.record().owner == "edge-0");
    CHECK(fleet.daemons[0]->control.owns_domain_of("assistant"));
    CHECK_FALSE(fleet.daemons[1]->control.owns_domain_of("assistant"));
    fleet.daemons[0]->is_alive = false;
    const auto lost = fleet.record().replicas.front().hosts.back().id;
    fleet.world.hosts.erase(lost);
    fleet.run(8_s);
    CHECK(fleet.record().owner == "edge-0");
    fleet.world.daemons = {"edge-1"}; // The controllers have ended: the others control.
    fleet.run(8_s);
    CHECK(fleet.record().owner == "edge-1");
}

} // namespace coriander
