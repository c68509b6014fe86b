#include "coriander/relay/crash_quarantine.hpp"

#include "support/printers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

constexpr fingerprint shared_part = 1;
constexpr fingerprint crashing_part = 2;
constexpr fingerprint other_part = 3;

const std::function<bool(fingerprint)> never_probe = [](fingerprint) { return false; };
const std::function<bool(fingerprint)> always_probe = [](fingerprint) { return true; };

/// A quarantine with a clock of its own. Each crash is of another host, and each request is a new one.
struct crashing_fleet {
    void crash(const std::vector<std::vector<fingerprint>>& suspects)
    {
        ++this->crash_count;
        for (auto prints : suspects) {
            prints.push_back(++this->last_request);
            this->quarantine.add({this->crash_count, true, prints, {}}, this->now);
        }
        this->quarantine.evaluate(this->now);
    }
    void crash_repeatedly(unsigned times, const std::vector<std::vector<fingerprint>>& suspects)
    {
        for (unsigned i = 0; i < times; ++i) {
            this->crash(suspects);
            this->now = this->now + 300_ms;
        }
    }
    void succeed(const std::vector<fingerprint>& prints)
    {
        this->quarantine.on_cleared(prints, this->now, this->now);
        this->quarantine.evaluate(this->now);
    }
    quarantine_verdict verdict(const std::vector<fingerprint>& prints,
                               const std::function<bool(fingerprint)>& may_probe = never_probe)
    {
        return this->quarantine.classify(prints, may_probe, this->now);
    }
    bool is_blocked(const std::vector<fingerprint>& prints)
    {
        return this->verdict(prints) == quarantine_verdict::blocked;
    }

    crash_quarantine quarantine;
    time_ms now = 1000_s;
    std::uint64_t crash_count = 0;
    fingerprint last_request = 1000;
};

} // namespace

TEST_CASE("crash quarantine: a part that different requests share is quarantined after three crashes")
{
    crashing_fleet fleet;
    fleet.succeed({shared_part});
    fleet.crash_repeatedly(2, {{shared_part, crashing_part}});
    CHECK_FALSE(fleet.is_blocked({shared_part, crashing_part}));
    fleet.crash_repeatedly(1, {{shared_part, crashing_part}});
    CHECK(fleet.is_blocked({shared_part, crashing_part}));
}

TEST_CASE(
    "crash quarantine: requests that share only the harmless parts of the crashing ones are not blocked")
{
    crashing_fleet fleet;
    SECTION("the parts ran without a crash before")
    {
        fleet.succeed({shared_part, other_part});
    }
    SECTION("nothing is known of them") {}
    fleet.crash_repeatedly(20, {{shared_part, crashing_part, other_part}});
    CHECK(fleet.is_blocked({shared_part, crashing_part, other_part}));
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: a harmless request that was on three crashed targets is not blocked")
{
    crashing_fleet fleet;
    constexpr fingerprint unlucky_request = 77;
    fleet.crash_repeatedly(3, {{shared_part, crashing_part}, {shared_part, other_part, unlucky_request}});
    fleet.crash({{shared_part, crashing_part}});
    CHECK(fleet.is_blocked({shared_part, crashing_part}));
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part, unlucky_request}));
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: two crashing parts at the same time are both quarantined")
{
    crashing_fleet fleet;
    for (unsigned i = 0; i < 4; ++i) {
        fleet.crash_repeatedly(1, {{shared_part, crashing_part}});
        fleet.crash_repeatedly(1, {{other_part, 8}, {shared_part, 9}});
        fleet.succeed({shared_part});
    }
    CHECK(fleet.is_blocked({shared_part, crashing_part}));
    CHECK(fleet.is_blocked({other_part, 8}));
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: a request that is repeated unchanged is quarantined as a whole")
{
    crashing_fleet fleet;
    constexpr fingerprint repeated_request = 77;
    fleet.succeed({shared_part});
    fleet.crash_repeatedly(3, {{shared_part, repeated_request}});
    CHECK(fleet.is_blocked({shared_part, repeated_request}));
    CHECK_FALSE(fleet.is_blocked({shared_part}));
}

TEST_CASE("crash quarantine: hosts that crash at the same moment quarantine nothing")
{
    crashing_fleet fleet;
    for (unsigned i = 0; i < 10; ++i) {
        fleet.crash({{shared_part, other_part}});
    }
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: requests that run between crashes clear their parts")
{
    crashing_fleet fleet;
    for (unsigned i = 0; i < 50; ++i) {
        fleet.crash_repeatedly(1, {{shared_part, other_part}});
        fleet.succeed({shared_part, other_part});
        fleet.now = fleet.now + 100_ms;
    }
    CHECK_FALSE(fleet.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: a part that was harmless until now is quarantined after more crashes")
{
    crashing_fleet fleet;
    fleet.succeed({crashing_part});
    fleet.crash_repeatedly(5, {{crashing_part}});
    CHECK_FALSE(fleet.is_blocked({crashing_part}));
    fleet.now = fleet.now + 1_s;
    fleet.quarantine.evaluate(fleet.now);
    CHECK(fleet.is_blocked({crashing_part}));
}

TEST_CASE(
    "crash quarantine: a harmless part is not blocked while reports of the crashing one are still to come")
{
    crashing_fleet fleet;
    fleet.succeed({shared_part});
    fleet.crash_repeatedly(4, {{shared_part, crashing_part}});
    fleet.now = fleet.now + 1_s;
    fleet.crash({{shared_part, other_part}});
    CHECK(fleet.is_blocked({shared_part, crashing_part}));
    CHECK_FALSE(fleet.is_blocked({shared_part}));
}

TEST_CASE("crash quarantine: a caller is told to wait the longer the quarantine has lasted")
{
    crashing_fleet fleet;
    fleet.crash_repeatedly(3, {{crashing_part}});
    const std::vector prints{crashing_part};
    CHECK(fleet.quarantine.retry_after(prints, fleet.now) == 1_s);
    CHECK(fleet.quarantine.retry_after(prints, fleet.now + 60_s) >= 60_s);
    CHECK(fleet.quarantine.retry_after(prints, fleet.now + 300_s) == 120_s);
}

TEST_CASE("crash quarantine: after the block time one daemon tests with one request at a time")
{
    crashing_fleet fleet;
    fleet.crash_repeatedly(3, {{crashing_part}});
    CHECK(fleet.verdict({crashing_part}, always_probe) == quarantine_verdict::blocked);
    fleet.now = fleet.now + 121_s;
    CHECK(fleet.verdict({crashing_part}, never_probe) == quarantine_verdict::blocked);
    CHECK(fleet.verdict({crashing_part}, always_probe) == quarantine_verdict::probe);
    CHECK(fleet.verdict({crashing_part}, always_probe) == quarantine_verdict::blocked);
    SECTION("a success ends the quarantine")
    {
        fleet.succeed({crashing_part});
        CHECK(fleet.verdict({crashing_part}) == quarantine_verdict::clear);
    }
    SECTION("a crash renews it")
    {
        fleet.crash({{crashing_part}});
        fleet.now = fleet.now + 100_s;
        CHECK(fleet.verdict({crashing_part}, always_probe) == quarantine_verdict::blocked);
    }
}

TEST_CASE("crash quarantine: a quarantine ends for good when nothing has crashed for the retention time")
{
    crashing_fleet fleet;
    fleet.crash_repeatedly(3, {{crashing_part}});
    fleet.now = fleet.now + 600_s;
    fleet.quarantine.evaluate(fleet.now);
    CHECK(fleet.verdict({crashing_part}) == quarantine_verdict::clear);
}

TEST_CASE("crash quarantine: a retry after a crash is suspect if a request like it was on another target")
{
    crashing_fleet fleet;
    fleet.succeed({shared_part});
    fleet.crash({{shared_part, crashing_part}});
    CHECK(fleet.quarantine.is_suspect(std::vector<fingerprint>{shared_part, crashing_part}));
    CHECK_FALSE(fleet.quarantine.is_suspect(std::vector<fingerprint>{shared_part, other_part}));
}

TEST_CASE("crash quarantine: daemons that each saw one crash agree after exchanging reports")
{
    std::vector<crashing_fleet> daemons(69);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        daemons[i].crash_count = i;
        daemons[i].last_request = 1000 + 10 * i;
        daemons[i].now = 1000_s + time_ms{static_cast<std::int64_t>(100 * (i % 5))};
        daemons[i].succeed({shared_part});
        daemons[i].crash({{shared_part, crashing_part}});
    }
    for (unsigned round = 0; round < 4; ++round) {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            daemons[i].now = 1001_s;
            const auto update = daemons[i].quarantine.next_update(32, daemons[i].now);
            for (std::size_t peer = 1; peer <= 8; ++peer) {
                auto& to = daemons[(i + peer * (3 + round)) % daemons.size()];
                to.now = 1001_s;
                to.quarantine.merge(update, to.now);
                to.quarantine.evaluate(to.now);
            }
        }
    }
    for (auto& daemon : daemons) {
        CHECK(daemon.is_blocked({shared_part, crashing_part}));
        CHECK_FALSE(daemon.is_blocked({shared_part}));
    }
}

TEST_CASE("crash quarantine: a daemon that has restarted learns what is quarantined")
{
    crashing_fleet fleet;
    fleet.succeed({shared_part});
    fleet.succeed({other_part});
    fleet.crash_repeatedly(5, {{shared_part, crashing_part, other_part}, {shared_part, other_part}});
    fleet.now = fleet.now + 5_s;
    crashing_fleet restarted;
    SECTION("at once")
    {
        restarted.quarantine.merge(fleet.quarantine.newest(128, fleet.now), restarted.now);
    }
    SECTION("from the periodic messages")
    {
        for (unsigned i = 0; i < 20; ++i) {
            restarted.quarantine.merge(fleet.quarantine.next_update(32, fleet.now), restarted.now);
        }
    }
    restarted.quarantine.evaluate(restarted.now);
    CHECK(restarted.is_blocked({crashing_part}));
    CHECK_FALSE(restarted.is_blocked({shared_part, other_part}));
}

TEST_CASE("crash quarantine: reports stop being passed on when a few copies have been sent")
{
    crashing_fleet fleet;
    std::vector<std::vector<fingerprint>> suspects;
    for (fingerprint i = 0; i < 20; ++i) {
        suspects.push_back({shared_part, 100 + i});
    }
    fleet.crash(suspects);
    for (unsigned i = 0; i < 2; ++i) {
        CHECK(fleet.quarantine.next_update(32, fleet.now).suspects.size() >= 20);
    }
    CHECK(fleet.quarantine.next_update(32, fleet.now).suspects.size() == 2);
}

TEST_CASE("crash quarantine: memory is bounded whatever callers and peers send")
{
    crashing_fleet fleet;
    for (fingerprint i = 0; i < 2000; ++i) {
        fleet.quarantine.add({i, true, {10000 + i}, {}}, fleet.now);
    }
    CHECK(fleet.quarantine.newest(10000, fleet.now).suspects.size() <= 512);
}

TEST_CASE("crash quarantine: harmless requests among random crashes are never blocked once they have run")
{
    rc::prop("harmless parts are not blocked", [] {
        crashing_fleet fleet;
        const auto parts =
            *rc::gen::container<std::vector<fingerprint>>(30, rc::gen::inRange<fingerprint>(10, 16));
        for (const auto part : parts) {
            fleet.crash({{shared_part, crashing_part}, {shared_part, part}});
            fleet.now = fleet.now + 100_ms;
            fleet.succeed({shared_part, part});
            fleet.now = fleet.now + 200_ms;
        }
        RC_ASSERT(fleet.is_blocked({shared_part, crashing_part}));
        for (const auto part : parts) {
            RC_ASSERT(!fleet.is_blocked({shared_part, part}));
        }
    });
}

} // namespace coriander
