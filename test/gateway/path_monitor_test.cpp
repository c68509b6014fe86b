#include "gateway/path_monitor.hpp"

#include "support/two_hosts.hpp"

#include <catch2/catch.hpp>

#include <optional>

namespace coriander {
namespace {

/// A daemon that suspects `d-h0` of two hosts.
struct suspecting_daemon : two_hosts {
    std::optional<bool> check()
    {
        this->verdict.reset();
        this->paths.check(*this->view.find_host("d-h0"), [this](bool has_path) { this->verdict = has_path; });
        return this->verdict;
    }
    void recheck()
    {
        this->paths.recheck();
        this->io.deliver();
    }
    void lose_path()
    {
        this->world.unreachable = {"d-h0", "d-h1"};
        (void)this->check();
        this->io.deliver();
        this->io.deliver();
    }

    unsigned changes = 0;
    std::optional<bool> verdict;
    path_monitor<fake_controller_io> paths{this->io, this->view,
                                           [this](const std::string&) { ++this->changes; }};
};

} // namespace

TEST_CASE("path monitor: evidence against a host counts while another host accepts a connection")
{
    suspecting_daemon daemon;
    daemon.world.ended = {"d-h0"};
    CHECK_FALSE(daemon.check());
    daemon.io.deliver();
    CHECK(daemon.verdict == true);
    CHECK_FALSE(daemon.paths.is_cut());
    CHECK(daemon.changes == 0);
}

TEST_CASE("path monitor: evidence does not count if no other host accepts a connection")
{
    suspecting_daemon daemon;
    SECTION("they are silent")
    {
        daemon.world.unreachable = {"d-h0", "d-h1"};
    }
    SECTION("they refuse")
    {
        daemon.world.ended = {"d-h0", "d-h1"};
    }
    (void)daemon.check();
    daemon.io.deliver();
    CHECK_FALSE(daemon.verdict);
    daemon.io.deliver();
    CHECK(daemon.verdict == false);
    CHECK(daemon.paths.is_cut("assistant"));
    CHECK_FALSE(daemon.paths.is_cut("other"));
    CHECK(daemon.check() == false); // At once.
    CHECK(daemon.changes == 1);
}

TEST_CASE("path monitor: evidence that arrives during a check is not judged by a connection from before it")
{
    suspecting_daemon daemon;
    (void)daemon.check();
    std::optional<bool> later;
    daemon.paths.check(*daemon.view.find_host("d-h0"), [&](bool has_path) { later = has_path; });
    daemon.io.deliver(); // The connection of the first check is accepted; then the path is lost.
    daemon.world.unreachable = {"d-h0", "d-h1"};
    CHECK(daemon.verdict == true);
    CHECK_FALSE(later);
    daemon.io.deliver();
    daemon.io.deliver();
    CHECK(later == false);
}

TEST_CASE("path monitor: frequent failures to send do not open connections each time")
{
    suspecting_daemon daemon;
    (void)daemon.check();
    daemon.io.deliver();
    daemon.world.unreachable = {"d-h0", "d-h1"};
    std::optional<bool> verdict;
    daemon.paths.check_recent(*daemon.view.find_host("d-h0"), [&](bool has_path) { verdict = has_path; });
    CHECK(verdict == true);
    daemon.lose_path();
    daemon.paths.check_recent(*daemon.view.find_host("d-h0"), [&](bool has_path) { verdict = has_path; });
    CHECK(verdict == false);
}

TEST_CASE("path monitor: the path is restored once a host has accepted connections in two rounds in a row")
{
    suspecting_daemon daemon;
    daemon.lose_path();
    daemon.recheck();
    CHECK(daemon.paths.is_cut());
    daemon.world.unreachable.clear();
    daemon.recheck();
    CHECK(daemon.paths.is_cut());
    daemon.world.unreachable = {"d-h0", "d-h1"};
    daemon.recheck();
    daemon.world.unreachable.clear();
    daemon.recheck();
    CHECK(daemon.paths.is_cut());
    daemon.recheck();
    CHECK_FALSE(daemon.paths.is_cut());
    CHECK(daemon.changes == 2);
}

TEST_CASE("path monitor: without another host to compare with, evidence counts")
{
    suspecting_daemon daemon;
    daemon.view.remove_host("d-h1");
    CHECK(daemon.check() == true);
}

} // namespace coriander
