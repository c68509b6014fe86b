#include "gateway/stall_response.hpp"

#include "support/event_loop.hpp"
#include "support/fake_controller_io.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

const std::string service_name = "desk";
const std::string replica_name = "d0-1";

/// A replica of hosts `a` and `b` with one stalled stream.
struct stalled_replica {
    stalled_replica()
    {
        domain_record record;
        record.replicas = {{replica_name, "m", 1, replica_phase::open, {}}};
        for (const auto* id : {"a", "b"}) {
            listed_host host;
            host.id = id;
            host.service = service_name;
            host.address = std::string{id} + ":1";
            host.fabric_domain = "d0";
            host.incarnation = 7;
            host.part = replica_part{replica_name, 1, host_phase::open};
            this->world.hosts[id] = host;
            this->view.set_host(host, this->start);
            record.replicas.front().hosts.push_back({id, host.address, 7, false});
        }
        this->view.set_domain({service_name, "d0"}, record, {0, 1});
        const relay_target target{replica_name, "a", "a:1", {}, "m", 1, 8, 1.0};
        this->board().set_targets({&target, 1});
        this->board().on_sent(replica_name, this->start - 5_s);
        this->board().on_response_started(replica_name, this->start - 5_s);
    }

    target_pool& board() { return this->context.service(service_name).board; }

    event_loop loop;
    relay_context context{this->loop.context(), {}, "here"};
    time_ms start = this->context.clock.now();
    fake_controller_io::world world;
    fake_controller_io io{this->world};
    fleet_view view;
    unsigned changes = 0;
    stall_response<fake_controller_io> stalls{this->io, this->context, this->view,
                                              [this](auto) { ++this->changes; }};
};

} // namespace

TEST_CASE(
    "stall response: a host that does not answer one probe is probed again before it is treated as lost")
{
    stalled_replica replica;
    replica.world.unreachable = {"b"};
    replica.stalls.check(service_name, replica.start);
    replica.io.deliver();
    CHECK(replica.view.silent().empty());
    replica.world.unreachable.clear();
    replica.io.deliver();
    CHECK(replica.view.silent().empty());
    CHECK(replica.changes == 0);
}

TEST_CASE("stall response: a host that answers no probe is lost")
{
    stalled_replica replica;
    replica.world.unreachable = {"b"};
    replica.stalls.check(service_name, replica.start);
    for (unsigned round = 0; round < loss_probe_settings{}.max_rounds; ++round) {
        CHECK(replica.view.silent().empty());
        replica.io.deliver();
    }
    REQUIRE(replica.view.silent().size() == 1);
    CHECK(replica.view.is_silent("b"));
    CHECK(replica.changes == 1);
}

TEST_CASE("stall response: no loss is reported if no host answers, since this daemon may be disconnected")
{
    stalled_replica replica;
    replica.world.unreachable = {"a", "b"};
    replica.stalls.check(service_name, replica.start);
    for (unsigned round = 0; round < loss_probe_settings{}.max_rounds; ++round) {
        replica.io.deliver();
    }
    CHECK(replica.view.silent().empty());
    CHECK(replica.changes == 0);
    // This daemon still avoids the replica.
    CHECK(replica.board().count("m", replica.context.clock.now()) == 0);
}

TEST_CASE("stall response: a replica that makes progress during the inquiry has lost no host")
{
    stalled_replica replica;
    replica.world.unreachable = {"a", "b"};
    replica.stalls.check(service_name, replica.start);
    replica.board().on_progress(replica_name, replica.start + 1_s);
    replica.io.deliver();
    CHECK(replica.view.silent().empty());
    CHECK(replica.changes == 0);
}

TEST_CASE(
    "stall response: a daemon that others control for asks them once, and probes only if nothing comes of it")
{
    stalled_replica replica;
    std::vector<std::size_t> asked;
    replica.stalls.set_delegation([&](const domain_key& key, const std::vector<lost_host>& hosts) {
        CHECK(key.domain == "d0");
        asked.push_back(hosts.size());
        return true;
    });
    replica.world.unreachable = {"b"};
    for (const auto after : {0_ms, 50_ms, 200_ms}) {
        replica.stalls.check(service_name, replica.start + after);
        replica.io.deliver();
    }
    CHECK(asked == std::vector<std::size_t>{2});
    CHECK(replica.changes == 0);
    // The record doesn't show a loss: the others may be gone.
    for (int round = 0; round < 10; ++round) {
        replica.stalls.check(service_name, replica.start + 300_ms);
        replica.io.deliver();
    }
    CHECK(replica.changes == 1);
    CHECK(replica.view.is_silent("b"));
}

TEST_CASE("stall response: a daemon that is to ask others waits longer before it takes silence for a stall")
{
    stalled_replica replica;
    std::size_t asked = 0;
    replica.stalls.set_delegation([&](const domain_key& /*key*/, const std::vector<lost_host>& hosts) {
        asked += hosts.size();
        return true;
    });
    replica.board().reset_silence(replica.start);
    replica.stalls.check(service_name, replica.start + 180_ms);
    CHECK(asked == 0);
    replica.stalls.check(service_name, replica.start + 230_ms);
    CHECK(asked == 2);
}

TEST_CASE("stall response: a daemon that none controls for probes at once")
{
    stalled_replica replica;
    replica.stalls.set_delegation([](const domain_key&, const std::vector<lost_host>&) { return false; });
    replica.world.unreachable = {"b"};
    replica.stalls.check(service_name, replica.start);
    for (int round = 0; round < 5; ++round) {
        replica.io.deliver();
    }
    CHECK(replica.changes == 1);
}

} // namespace coriander
