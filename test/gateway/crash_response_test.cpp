#include "gateway/crash_response.hpp"

#include "support/event_loop.hpp"
#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr fingerprint crashing_part = 2;

/// A daemon with a request on `d-h0`, whose connection closes.
struct closed_connection : two_hosts {
    closed_connection() { (void)this->context.trials.begin("d-h0", {1, crashing_part}); }

    void close()
    {
        this->crashes.on_connection_closed("d-h0");
        this->io.deliver();
        this->io.deliver();
    }
    [[nodiscard]] std::size_t reported() const
    {
        return this->context.quarantine.newest(10, this->start).suspects.size();
    }

    event_loop loop;
    relay_context context{this->loop.context(), {}, "here"};
    unsigned lost = 0;
    crash_response<fake_controller_io> crashes{this->io, this->context, this->view,
                                               [this](auto hosts) { this->lost += hosts.size(); }};
};

} // namespace

TEST_CASE("crash response: a host that closed a connection and refuses new ones is lost at once")
{
    closed_connection daemon;
    daemon.world.ended = {"d-h0"};
    daemon.close();
    CHECK(daemon.view.is_silent("d-h0"));
    CHECK(daemon.lost == 1);
    CHECK(daemon.reported() == 1);
}

TEST_CASE(
    "crash response: a host that closed a connection without refusing new ones is neither lost nor crashed")
{
    closed_connection daemon;
    SECTION("it accepts connections")
    {
        daemon.close();
    }
    SECTION("it can't be reached")
    {
        daemon.world.unreachable = {"d-h0"};
        daemon.close();
    }
    SECTION("it refused only one")
    {
        daemon.world.ended = {"d-h0"};
        daemon.crashes.on_connection_closed("d-h0");
        daemon.io.deliver();
        daemon.world.ended.clear();
        daemon.io.deliver();
    }
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.lost == 0);
    CHECK(daemon.reported() == 0);
}

TEST_CASE("crash response: a host of a plain service that crashed stays listed, since nothing tells that it "
          "is back")
{
    closed_connection daemon;
    auto plain = *daemon.view.find_host("d-h0");
    plain.fabric_domain.clear();
    daemon.view.set_host(plain, daemon.start);
    daemon.world.ended = {"d-h0"};
    daemon.close();
    CHECK(daemon.reported() == 1);
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.lost == 0);
}

TEST_CASE("crash response: requests on a host that leaves as planned are not suspects")
{
    closed_connection daemon;
    auto leaving = *daemon.view.find_host("d-h0");
    leaving.is_leaving = true;
    daemon.view.set_host(leaving, daemon.start);
    daemon.world.ended = {"d-h0"};
    daemon.close();
    CHECK_FALSE(daemon.view.is_silent("d-h0"));
    CHECK(daemon.reported() == 0);
}

TEST_CASE("crash response: reports of a peer put requests into quarantine")
{
    closed_connection daemon;
    crash_update update;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        update.suspects.push_back(
            {crash, true, {crashing_part, 10 + crash}, time_ms{static_cast<std::int64_t>(1000 * crash)}});
    }
    daemon.crashes.merge(update);
    REQUIRE(daemon.context.quarantine.entries().size() == 1);
    CHECK(daemon.context.quarantine.entries().front().prints == std::vector{crashing_part});
}

} // namespace coriander
