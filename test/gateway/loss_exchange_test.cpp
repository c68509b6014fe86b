#include "gateway/loss_exchange.hpp"

#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// A daemon without requests on the replicas of a domain of two hosts, notified of losses by another daemon.
struct notified_daemon : two_hosts {
    notified_daemon() { this->world.daemons = {"edge-0", "edge-1", "edge-2", "edge-3", "edge-4"}; }

    void notify(std::uint64_t incarnation = 100)
    {
        const lost_host reported{"d-h0", incarnation};
        this->losses.verify({&reported, 1}, this->start);
    }
    void complete_probes()
    {
        for (unsigned round = 0; round < loss_probe_settings{}.max_rounds; ++round) {
            this->io.deliver();
        }
    }

    unsigned changes = 0;
    loss_exchange<fake_controller_io> losses{this->io, this->view, [this] { ++this->changes; }};
};

} // namespace

TEST_CASE("loss exchange: a host reported as lost that does not answer probes here either is lost")
{
    notified_daemon daemon;
    daemon.world.unreachable = {"d-h0"};
    daemon.notify();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    daemon.complete_probes();
    CHECK(daemon.view.is_silent("d-h0"));
    CHECK(daemon.changes == 1);
}

TEST_CASE("loss exchange: a report by another daemon alone does not make a host lost")
{
    notified_daemon daemon;
    SECTION("it answers") {}
    SECTION("it answers the second probe")
    {
        daemon.world.unreachable = {"d-h0"};
        daemon.notify();
        daemon.io.deliver();
        daemon.world.unreachable.clear();
    }
    daemon.notify();
    daemon.complete_probes();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.changes == 0);
}

TEST_CASE("loss exchange: a report about an earlier incarnation of a host is ignored")
{
    notified_daemon daemon;
    daemon.world.unreachable = {"d-h0"};
    daemon.notify(99);
    daemon.complete_probes();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
}

TEST_CASE("loss exchange: the daemons that act on a domain are notified, unless this daemon is one of them")
{
    notified_daemon daemon;
    const domain_key key{"assistant", "d"};
    daemon.view.set_domain(key, {"edge-3", 1, {}, {}}, {0, 5});
    std::size_t without_recipients = 0;
    for (const auto& self : daemon.world.daemons) {
        const auto recipients = daemon.losses.recipients(key, self);
        CAPTURE(self);
        CHECK(std::find(recipients.begin(), recipients.end(), self) == recipients.end());
        CHECK((recipients.empty() ||
               std::find(recipients.begin(), recipients.end(), "edge-3") != recipients.end()));
        without_recipients += recipients.empty() ? 1 : 0;
    }
    CHECK(daemon.losses.recipients(key, "edge-3").empty());
    CHECK(without_recipients >= 2);
    CHECK(without_recipients <= 3);
}

} // namespace coriander
