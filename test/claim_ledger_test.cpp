#include "coriander/claim_ledger.hpp"

#include "support/faulty_table.hpp"
#include "support/manual_clock.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>
#include <random>

namespace coriander {
namespace {

using ledger = claim_ledger<faulty_table, manual_clock, std::mt19937_64>;

const claim_key booking{"gent", "order-17"};

/// Two routers that share one table.
struct two_routers {
    platform_table rows;
    manual_clock clock;
    faulty_table first_table{rows};
    faulty_table second_table{rows};
    bool first_alive = true;
    ledger first{first_table, clock, std::mt19937_64{1}, "entry-1@1", [](const auto&) { return true; }};
    ledger second{second_table, clock, std::mt19937_64{2}, "entry-2@1",
                  [this](const auto& owner) { return owner == "entry-1@1" && this->first_alive; }};
};

/// Expected verdicts of a request whose commits fail, and of its repeat at the other router.
struct repeat_case {
    const char* name;
    std::vector<commit_fault> faults; ///< Faults of the first router's commits, in order.
    claim_verdict first;
    claim_verdict repeat;
};

} // namespace

TEST_CASE(
    "claim ledger: the first request with a key is granted and a repeat at another router finds it running")
{
    two_routers routers;
    CHECK(routers.first.begin(booking, "digest").verdict == claim_verdict::granted);
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::running);
}

TEST_CASE("claim ledger: a repeat after the owner's death gets an unknown outcome")
{
    two_routers routers;
    CHECK(routers.first.begin(booking, "digest").verdict == claim_verdict::granted);
    routers.first_alive = false;
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::outcome_unknown);
}

TEST_CASE("claim ledger: a repeat after the end gets the stored answer at any router")
{
    two_routers routers;
    const auto decision = routers.first.begin(booking, "digest");
    routers.first.complete(decision.grant, {201, "text/plain", "booked"});
    for (auto* router : {&routers.first, &routers.second}) {
        const auto repeat = router->begin(booking, "digest");
        CHECK(repeat.verdict == claim_verdict::replay);
        CHECK(repeat.answer.status == 201);
        CHECK(repeat.answer.body == "booked");
    }
}

TEST_CASE("claim ledger: the same key with another body is a conflict")
{
    two_routers routers;
    CHECK(routers.first.begin(booking, "digest").verdict == claim_verdict::granted);
    CHECK(routers.second.begin(booking, "other digest").verdict == claim_verdict::body_conflict);
}

TEST_CASE("claim ledger: keys of two customers never collide")
{
    two_routers routers;
    CHECK(routers.first.begin({"gent", "a/b"}, "digest").verdict == claim_verdict::granted);
    CHECK(routers.second.begin({"leuven", "a/b"}, "digest").verdict == claim_verdict::granted);
    CHECK(routers.second.begin({"gent/a", "b"}, "digest").verdict == claim_verdict::granted);
}

TEST_CASE("claim ledger: faults of the claim's commit")
{
    using enum commit_fault;
    const auto cases = {
        repeat_case{
            "the response is lost once", {answer_lost}, claim_verdict::granted, claim_verdict::running},
        repeat_case{
            "the request is lost once", {request_lost}, claim_verdict::granted, claim_verdict::running},
        repeat_case{"the response is lost each time",
                    {answer_lost, answer_lost, answer_lost},
                    claim_verdict::store_down,
                    claim_verdict::running},
        repeat_case{"an outage", {outage, outage, outage}, claim_verdict::store_down, claim_verdict::granted},
        repeat_case{"all requests are lost",
                    {request_lost, request_lost, request_lost},
                    claim_verdict::store_down,
                    claim_verdict::granted},
        repeat_case{"the commit takes effect late",
                    {takes_effect_late, outage, outage},
                    claim_verdict::store_down,
                    claim_verdict::granted},
    };
    for (const auto& test_case : cases) {
        DYNAMIC_SECTION(test_case.name)
        {
            two_routers routers;
            routers.first_table.faults.assign(test_case.faults.begin(), test_case.faults.end());
            const auto decision = routers.first.begin(booking, "digest");
            CHECK(decision.verdict == test_case.first);
            CHECK(routers.second.begin(booking, "digest").verdict == test_case.repeat);
        }
    }
}

TEST_CASE("claim ledger: a claim that is committed after it was abandoned does not block the key forever")
{
    two_routers routers;
    using enum commit_fault;
    routers.first_table.faults = {takes_effect_late, outage, outage};
    REQUIRE(routers.first.begin(booking, "digest").verdict == claim_verdict::store_down);
    routers.first_table.apply_late_commits();
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::running);
    CHECK(routers.first.settle() == 1); // Finds the late claim ...
    CHECK(routers.first.settle() == 0); // ... and replaces it.
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::granted);
}

TEST_CASE("claim ledger: a claim that was released before its late commit can't be committed any more")
{
    two_routers routers;
    using enum commit_fault;
    routers.first_table.faults = {takes_effect_late, outage, outage};
    REQUIRE(routers.first.begin(booking, "digest").verdict == claim_verdict::store_down);
    CHECK(routers.first.settle() == 0);
    routers.first_table.apply_late_commits();
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::granted);
}

TEST_CASE(
    "claim ledger: an answer that can't be written is used for repeats at this router and written later")
{
    two_routers routers;
    const auto decision = routers.first.begin(booking, "digest");
    routers.first_table.faults = {commit_fault::outage};
    routers.first.complete(decision.grant, {200, "text/plain", "booked"});
    CHECK(routers.first.begin(booking, "digest").verdict == claim_verdict::replay);
    CHECK(routers.first.settle() == 0);
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::replay);
}

TEST_CASE("claim ledger: a key older than the retention period is refused, not run as new")
{
    platform_table rows;
    faulty_table table{rows};
    manual_clock clock{time_ms{0x018bcfe56800 + 8LL * 24 * 3600 * 1000}};
    ledger router{table, clock, std::mt19937_64{1}, "entry-1@1", [](const auto&) { return true; }};
    CHECK(router.begin({"gent", "018bcfe5-6800-7abc-8def-0123456789ab"}, "digest").verdict ==
          claim_verdict::key_expired);
    CHECK(router.begin({"gent", "018bcfe5-6800-4abc-8def-0123456789ab"}, "digest").verdict ==
          claim_verdict::granted);
}

namespace {

/// Runs several routers through a random schedule of requests and faults, and counts the requests that a
/// target would receive.
class claim_schedule {
public:
    explicit claim_schedule(std::uint64_t seed) : random{seed}
    {
        for (int i = 0; i < router_count; ++i) {
            this->restart(i);
        }
    }

    void step()
    {
        const auto router = draw_index(this->random, router_count);
        switch (draw_index(this->random, 7)) {
        case 0:
        case 1:
        case 2:
            this->request(router);
            break;
        case 3:
            this->continue_request(router);
            break;
        case 4:
            (void)this->routers[router].claims->settle();
            break;
        case 5:
            this->routers[router].table->apply_late_commits();
            break;
        default:
            this->restart_sometimes(router);
            break;
        }
    }

    /// Ends all faults, then sends all granted requests and settles all claims.
    void end_faults()
    {
        for (auto& router : this->routers) {
            router.table->faults.clear();
            router.table->apply_late_commits();
            while (!router.pending.empty()) {
                this->send(router);
            }
            for (int i = 0; i < 5; ++i) {
                (void)router.claims->settle();
            }
        }
    }

    std::map<std::string, int> runs;               ///< By key.
    std::map<std::string, int> runs_after_refusal; ///< By key, of tokens reported as not run.
    std::set<std::string> orphaned;                ///< Keys that a killed router may have claimed.

    claim_verdict repeat(const std::string& key)
    {
        return this->routers.front().claims->begin({"gent", key}, "digest").verdict;
    }

    static constexpr int router_count = 3;
    static constexpr int key_count = 4;

private:
    struct pending_grant {
        std::string key;
        claim_grant grant;
    };
    struct one_router {
        std::unique_ptr<faulty_table> table;
        std::unique_ptr<ledger> claims;
        std::vector<pending_grant> pending; ///< Granted, not yet sent: a router may pause here for long.
        std::set<std::string> requested_keys;
    };

    void restart(std::size_t place)
    {
        auto& router = this->routers[place];
        auto table = std::make_unique<faulty_table>(this->rows);
        if (router.table) {
            router.table->apply_late_commits(); // Late writes of the killed router still take effect.
        }
        router.claims = std::make_unique<ledger>(
            *table, this->clock, std::mt19937_64{this->random()},
            "entry-" + std::to_string(place) + "@" + std::to_string(++this->incarnation),
            [this](const auto&) {
                return draw_index(this->random, 2) == 0; // Liveness information may be wrong.
            });
        router.table = std::move(table);
        router.pending.clear();
        this->orphaned.insert(router.requested_keys.begin(), router.requested_keys.end());
        router.requested_keys.clear();
    }

    void request(std::size_t place)
    {
        auto& router = this->routers[place];
        const auto key = std::to_string(draw_index(this->random, key_count));
        for (int i = 0; i < 3; ++i) {
            router.table->faults.push_back(static_cast<commit_fault>(draw_index(this->random, 5)));
        }
        auto decision = router.claims->begin({"gent", key}, "digest");
        router.table->faults.clear();
        router.requested_keys.insert(key);
        if (decision.verdict == claim_verdict::granted) {
            router.pending.push_back({key, std::move(decision.grant)});
        }
    }

    void continue_request(std::size_t place)
    {
        auto& router = this->routers[place];
        if (router.pending.empty()) {
            return;
        }
        router.table->faults = {static_cast<commit_fault>(draw_index(this->random, 5))};
        if (draw_index(this->random, 4) == 0) {
            // No target had room: the caller is told "not run", and the key is released.
            const auto grant = router.pending.back().grant;
            router.pending.pop_back();
            this->refused_tokens.insert(grant.record.token);
            router.claims->release(grant);
        }
        else {
            this->send(router);
        }
        router.table->faults.clear();
    }

    void send(one_router& router)
    {
        const auto granted = router.pending.back();
        router.pending.pop_back();
        ++this->runs[granted.key];
        this->runs_after_refusal[granted.key] +=
            this->refused_tokens.contains(granted.grant.record.token) ? 1 : 0;
        if (draw_index(this->random, 3) == 0) {
            router.claims->mark_unknown(granted.grant);
        }
        else {
            router.claims->complete(granted.grant, {200, "text/plain", "done"});
        }
    }

    void restart_sometimes(std::size_t place)
    {
        if (draw_index(this->random, 4) == 0) {
            this->restart(place);
        }
    }

    std::mt19937_64 random;
    platform_table rows;
    manual_clock clock;
    int incarnation = 0;
    std::array<one_router, router_count> routers;
    std::set<std::string> refused_tokens;
};

} // namespace

TEST_CASE("claim ledger: over random schedules of faults no key runs twice and no request reported as not "
          "run ever runs")
{
    rc::prop("at most once", [](std::uint64_t seed) {
        claim_schedule schedule{seed};
        for (int i = 0; i < 150; ++i) {
            schedule.step();
        }
        schedule.end_faults();
        for (const auto& [key, count] : schedule.runs) {
            RC_ASSERT(count <= 1);
            RC_ASSERT(schedule.runs_after_refusal[key] == 0);
        }
    });
}

TEST_CASE("claim ledger: a late commit of a claim over a released one does not block the key forever")
{
    // Found by the property below with the seeds 20 and 24978200.
    using enum commit_fault;
    two_routers routers;
    routers.first.release(routers.first.begin(booking, "digest").grant);
    routers.first_table.faults = {none, takes_effect_late, outage};
    CHECK(routers.first.begin(booking, "digest").verdict == claim_verdict::store_down);
    CHECK(routers.first.settle() == 0);
    routers.first_table.apply_late_commits();
    CHECK(routers.second.begin(booking, "digest").verdict == claim_verdict::granted);
}

TEST_CASE("claim ledger: once faults end, a key that never ran and whose routers survived can be claimed")
{
    rc::prop("no key is blocked forever", [](std::uint64_t seed) {
        claim_schedule schedule{seed};
        for (int i = 0; i < 150; ++i) {
            schedule.step();
        }
        schedule.end_faults();
        for (int i = 0; i < claim_schedule::key_count; ++i) {
            const auto key = std::to_string(i);
            if (schedule.runs[key] == 0 && !schedule.orphaned.contains(key)) {
                RC_ASSERT(schedule.repeat(key) == claim_verdict::granted);
            }
        }
    });
}

} // namespace coriander
