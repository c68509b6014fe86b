#include "gateway/fleet_controller.hpp"

#include "support/fake_controller_io.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <set>

namespace coriander {
namespace {

/// Several daemons that control one service's hosts.
struct fleet_fixture {
    struct daemon {
        daemon(fake_controller_io::world& world, const std::string& name)
            : io{world}, control{this->io, this->view, name}
        {
        }
        fake_controller_io io;
        fleet_view view;
        fleet_controller<fake_controller_io> control;
        bool is_alive = true;
        std::map<std::string, listed_host> told; ///< By the list, up to now.
    };

    explicit fleet_fixture(std::size_t daemon_count, std::size_t host_count = 9)
    {
        for (const auto& host : samples::free_hosts_of("d", host_count)) {
            this->world.hosts[host.id] = host;
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            const auto name = "edge-" + std::to_string(i);
            this->world.daemons.push_back(name);
            this->daemons.push_back(std::make_unique<daemon>(this->world, name));
            this->daemons.back()->control.set_cheap_loads(true);
        }
    }

    /// Whether the list would tell of a change between the two.
    static bool differs(const listed_host& a, const listed_host& b)
    {
        const auto text = [](const listed_host& host) {
            const auto part = host.part ? host.part->replica + std::to_string(host.part->generation) +
                                              std::to_string(static_cast<int>(host.part->phase))
                                        : std::string{};
            return part + "|" + std::to_string(host.incarnation) + (host.is_leaving ? "|leaving" : "") + "|" +
                   (host.staged.empty() ? std::string{} : host.staged.back());
        };
        return text(a) != text(b);
    }

    /// What the platform's list and the table's feed tell a daemon: each change once.
    void feed(daemon& one)
    {
        for (const auto& [id, host] : std::map{one.view.hosts()}) {
            if (!this->world.hosts.contains(id)) {
                one.view.remove_host(id);
                one.told.erase(id);
            }
        }
        for (const auto& [id, host] : this->world.hosts) {
            const auto known = one.told.find(id);
            if (known == one.told.end() || differs(known->second, host)) {
                auto listed = host;
                listed.has_told = false;
                one.view.set_host(listed, this->now);
                one.told[id] = listed;
            }
        }
        for (const auto& [key, row] : this->world.rows) {
            one.view.set_domain(*parse_domain_key(key), row.record, row.version);
        }
    }

    void step(time_ms length = 100_ms)
    {
        this->now = this->now + length;
        for (auto& one : this->daemons) {
            if (one->is_alive) {
                this->feed(*one);
                one->control.tick(this->service, this->now);
                one->io.deliver();
            }
        }
        this->check_hosts_belong_once();
    }
    void run(time_ms length)
    {
        for (const auto end = this->now + length; this->now < end;) {
            this->step();
        }
    }

    /// Runs until replicas are planned; no host has joined yet.
    void run_until_planned()
    {
        for (int i = 0; i < 100 && this->record().replicas.empty(); ++i) {
            this->step();
        }
        REQUIRE_FALSE(this->record().replicas.empty());
    }

    /// No host is in two replicas of the record, whatever happened.
    void check_hosts_belong_once() const
    {
        std::set<std::string> members;
        for (const auto& replica : this->record().replicas) {
            for (const auto& host : replica.hosts) {
                CHECK(members.insert(host.id).second);
            }
        }
    }

    [[nodiscard]] domain_record record() const
    {
        const auto found = this->world.rows.find("assistant/d");
        return found == this->world.rows.end() ? domain_record{} : found->second.record;
    }
    [[nodiscard]] std::size_t open_replicas() const
    {
        const auto now = this->record().replicas;
        return static_cast<std::size_t>(std::count_if(now.begin(), now.end(), [](const replica_entry& one) {
            return one.phase == replica_phase::open;
        }));
    }
    daemon& owner()
    {
        const auto name = this->record().owner;
        return *this->daemons[static_cast<std::size_t>(std::stoi(name.substr(name.find('-') + 1)))];
    }

    fake_controller_io::world world;
    std::vector<std::unique_ptr<daemon>> daemons;
    relay_service service = samples::assistant();
    time_ms now = 1'000'000_ms;
};

/// An outside that records what it was asked; expectations say what that must be.
class mock_io {
public:
    MAKE_MOCK4(commit, void(const domain_key&, const domain_record&, std::uint64_t,
                            std::function<void(commit_state)>));
    MAKE_MOCK3(order, void(const listed_host&, const host_order&, std::function<void(order_answer)>));
    MAKE_MOCK2(ask, void(const listed_host&, std::function<void(std::optional<host_status>)>));
    MAKE_MOCK3(ask_now, void(const listed_host&, time_ms, std::function<void(std::optional<host_status>)>));
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

TEST_CASE("fleet controller: nothing is planned while hosts still appear")
{
    fleet_fixture fleet{1};
    fleet.run(1_s);
    CHECK(fleet.record().replicas.empty());
    fleet.run(4_s);
    CHECK_FALSE(fleet.record().replicas.empty());
}

TEST_CASE("fleet controller: no order precedes the record that it follows from")
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
    REQUIRE_CALL(io, commit(ANY(const domain_key&), ANY(const domain_record&), 0U,
                            ANY(std::function<void(commit_state)>)))
        .WITH(_1.row_key() == "assistant/d" && _2.owner == "edge-0" && _2.replicas.size() == 1);
    const auto service = samples::assistant();
    control.tick(service, now + 2_s);
    control.tick(service, now + 3_s); // The commit's answer has not come: nothing more happens.
}

TEST_CASE("fleet controller: a host joins only after it has told its state itself")
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
    view.set_domain({"assistant", "d"}, {"edge-0", 1, {replica}, {}}, 7);
    std::vector<std::function<void(std::optional<host_status>)>> answers;
    ALLOW_CALL(io, daemons()).RETURN(std::vector<std::string>{"edge-0"});
    const auto service = samples::assistant();
    {
        FORBID_CALL(io, order(ANY(const listed_host&), ANY(const host_order&),
                              ANY(std::function<void(order_answer)>)));
        REQUIRE_CALL(io, ask(ANY(const listed_host&), ANY(std::function<void(std::optional<host_status>)>)))
            .TIMES(4)
            .LR_SIDE_EFFECT(answers.push_back(_2));
        control.tick(service, now);
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        host_status status;
        status.incarnation = 100 + i;
        if (i == 3) {
            status.part = replica_part{"d-0", 0, host_phase::open}; // The list did not know.
        }
        answers[i](status);
    }
    ALLOW_CALL(io, ask(ANY(const listed_host&), ANY(std::function<void(std::optional<host_status>)>)));
    std::map<std::string, order_kind> orders;
    REQUIRE_CALL(
        io, order(ANY(const listed_host&), ANY(const host_order&), ANY(std::function<void(order_answer)>)))
        .TIMES(4)
        .LR_SIDE_EFFECT(orders[_2.host] = _2.kind);
    control.tick(service, now + 100_ms);
    CHECK(orders.at("d-h0") == order_kind::join);
    CHECK(orders.at("d-h3") == order_kind::leave);
}

TEST_CASE("fleet controller: another daemon goes on when the one that gave orders is killed")
{
    fleet_fixture fleet{3};
    fleet.run_until_planned();
    auto& killed = fleet.owner();
    const auto former = fleet.record().owner;
    killed.is_alive = false;
    killed.io.drop();
    SECTION("and is known to be gone")
    {
        std::erase(fleet.world.daemons, former);
    }
    SECTION("and still counts as alive") {}
    fleet.run(8_s);
    CHECK(fleet.record().owner != former);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: an owner that the table turns away does not hold its domain up")
{
    fleet_fixture fleet{3};
    fleet.run_until_planned();
    const auto former = fleet.record().owner;
    fleet.owner().io.reaches_table = false;
    std::erase(fleet.world.daemons, former);
    fleet.run(4_s);
    CHECK(fleet.record().owner != former);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: a lost commit answer is settled by the row itself")
{
    fleet_fixture fleet{1};
    fleet.daemons[0]->io.loses_answers = true;
    fleet.run(12_s);
    CHECK(fleet.open_replicas() >= 2);
}

TEST_CASE("fleet controller: a replica that lost a host is formed anew of survivors and replacements")
{
    fleet_fixture fleet{2};
    fleet.run(8_s);
    for (auto& one : fleet.daemons) {
        one->control.set_cheap_loads(false);
    }
    const auto before = fleet.open_replicas();
    fleet.run(30_s); // Idle hosts load what they will be asked for.
    const auto lost = fleet.record().replicas.front();
    fleet.world.hosts.erase(lost.hosts.back().id);
    fleet.run(1_s);
    for (const auto& replica : fleet.record().replicas) {
        CHECK(replica.name != lost.name);
    }
    fleet.run(60_s);
    CHECK(fleet.open_replicas() >= before - 1);
}

TEST_CASE("fleet controller: a host's outdated word does not dissolve a sound replica that it joined since")
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

TEST_CASE("fleet controller: a host that answers questions is not taken as lost for an unanswered order")
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

TEST_CASE("fleet controller: a replica that lost a host does not wait for a replacement's first load")
{
    fleet_fixture fleet{2};
    fleet.run(12_s);
    for (auto& one : fleet.daemons) {
        one->control.set_cheap_loads(false);
    }
    const auto lost = fleet.record().replicas.front();
    std::set<std::string> joined; // In any replica since their start.
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

TEST_CASE(
    "fleet controller: a change that could not be committed at once does not put off the warming of spares")
{
    fleet_fixture fleet{1};
    fleet.daemons[0]->io.answers_late = true;
    fleet.run(8_s);
    for (const auto& [id, host] : fleet.world.hosts) {
        CAPTURE(id);
        CHECK(std::any_of(fleet.world.orders.begin(), fleet.world.orders.end(),
                          [&, host_id = id](const host_order& order) {
                              return order.kind == order_kind::join && order.host == host_id;
                          }));
    }
}

TEST_CASE("fleet controller: spare hosts that are warm are not ordered anything again")
{
    fleet_fixture fleet{2};
    fleet.run(12_s);
    const auto orders = fleet.world.orders.size();
    fleet.run(20_s);
    CHECK(fleet.world.orders.size() == orders);
}

TEST_CASE("fleet controller: a spare host that does not get warm is not ordered to join without pause")
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

TEST_CASE("fleet controller: over random losses and kills hosts never belong to two replicas")
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
                one.io.loses_answers = !one.io.loses_answers;
                break;
            }
            case 2: {
                const auto id = "d-h" + std::to_string(*rc::gen::inRange(0, 9));
                if (fleet.world.hosts.contains(id)) { // It starts anew and knows nothing.
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
            RC_ASSERT(fleet.world.joined_twice == 0U);
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

} // namespace coriander
