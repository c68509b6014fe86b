#include "gateway/crash_response.hpp"
#include "gateway/loss_exchange.hpp"
#include "gateway/path_monitor.hpp"

#include "support/event_loop.hpp"
#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// A daemon that has lost its paths to all hosts, with a request on `d-h0`.
struct cut_gateway : two_hosts {
    cut_gateway()
    {
        (void)this->context.trials.begin("d-h0", {1, 2});
        const path_check check = [this](const listed_host& suspect, on_path_checked done) {
            this->paths.check(suspect, std::move(done));
        };
        this->crashes.set_path_check(check);
        this->losses.set_path_check(check);
    }

    void deliver_all()
    {
        for (unsigned i = 0; i < 10; ++i) {
            this->io.deliver();
        }
    }

    event_loop loop;
    relay_context context{this->loop.context(), {}, "here"};
    unsigned lost = 0;
    unsigned path_changes = 0;
    path_monitor<fake_controller_io> paths{this->io, this->view,
                                           [this](const std::string&) { ++this->path_changes; }};
    crash_response<fake_controller_io> crashes{this->io, this->context, this->view,
                                               [this](auto hosts) { this->lost += hosts.size(); }};
    loss_exchange<fake_controller_io> losses{this->io, this->view, [this] { ++this->lost; }};
};

} // namespace

TEST_CASE("cut gateway: connections that are reset on the way are not taken for crashes of the hosts")
{
    cut_gateway daemon;
    daemon.world.ended = {"d-h0", "d-h1"};
    daemon.crashes.on_connection_closed("d-h0");
    daemon.deliver_all();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.lost == 0);
    CHECK(daemon.context.quarantine.newest(10, daemon.start).suspects.empty());
}

TEST_CASE("cut gateway: it does not confirm a loss that another gateway has reported")
{
    cut_gateway daemon;
    daemon.world.unreachable = {"d-h0", "d-h1"};
    const lost_host reported{"d-h0", 100};
    daemon.losses.verify({&reported, 1}, daemon.start);
    daemon.deliver_all();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.lost == 0);
}

} // namespace coriander
