#include "gateway/loss_exchange.hpp"

#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// A daemon that has no requests on the replicas of a domain of two hosts.
struct told_daemon : two_hosts {
    told_daemon() { this->world.daemons = {"edge-0", "edge-1", "edge-2", "edge-3", "edge-4"}; }

    void tell(std::uint64_t incarnation = 100)
    {
        const lost_host told{"d-h0", incarnation};
        this->losses.take({&told, 1}, this->start);
    }
    void deliver_all()
    {
        for (unsigned round = 0; round < loss_probe_settings{}.max_rounds; ++round) {
            this->io.deliver();
        }
    }

    unsigned changes = 0;
    loss_exchange<fake_controller_io> losses{this->io, this->view, [this] { ++this->changes; }};
};

} // namespace

TEST_CASE("loss exchange: a host that another daemon found lost and that does not answer here is lost")
{
    told_daemon daemon;
    daemon.world.unreachable = {"d-h0"};
    daemon.tell();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    daemon.deliver_all();
    CHECK(daemon.view.is_silent("d-h0"));
    CHECK(daemon.changes == 1);
}

TEST_CASE("loss exchange: another daemon's word alone does not make a host lost")
{
    told_daemon daemon;
    SECTION("it answers") {}
    SECTION("it answers the second question")
    {
        daemon.world.unreachable = {"d-h0"};
        daemon.tell();
        daemon.io.deliver();
        daemon.world.unreachable.clear();
    }
    daemon.tell();
    daemon.deliver_all();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.changes == 0);
}

TEST_CASE("loss exchange: what is told of an earlier start of a host is ignored")
{
    told_daemon daemon;
    daemon.world.unreachable = {"d-h0"};
    daemon.tell(99);
    daemon.deliver_all();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
}

TEST_CASE("loss exchange: those that act for a domain are told, unless this daemon is one of them")
{
    told_daemon daemon;
    const domain_key key{"assistant", "d"};
    daemon.view.set_domain(key, {"edge-3", 1, {}, {}}, 5);
    std::size_t without_word = 0;
    for (const auto& self : daemon.world.daemons) {
        const auto told = daemon.losses.listeners(key, self);
        CAPTURE(self);
        CHECK(std::find(told.begin(), told.end(), self) == told.end());
        CHECK((told.empty() || std::find(told.begin(), told.end(), "edge-3") != told.end()));
        without_word += told.empty() ? 1 : 0;
    }
    CHECK(daemon.losses.listeners(key, "edge-3").empty());
    CHECK(without_word >= 2);
    CHECK(without_word <= 3);
}

} // namespace coriander
