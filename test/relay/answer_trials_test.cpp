#include "coriander/relay/answer_trials.hpp"

#include "support/printers.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;
constexpr std::uint64_t crash = 5;

std::size_t suspects_on(answer_trials& trials, const std::string& host)
{
    return trials.take_suspects(host, crash, {}).size();
}

} // namespace

TEST_CASE("answer trials: a request is a suspect until its response has made progress for some time")
{
    answer_trials trials;
    const auto trial = trials.begin("a", {1, 2});
    trials.on_started(trial, start);
    trials.on_progress(trial, 3, start + 299_ms);
    SECTION("little progress")
    {
        trials.on_progress(trial, 3, start + 400_ms);
        CHECK(trials.take_cleared(start + 400_ms).empty());
        CHECK(suspects_on(trials, "a") == 1);
    }
    SECTION("enough events")
    {
        trials.on_progress(trial, 4, start + 400_ms);
        const auto cleared = trials.take_cleared(start + 400_ms);
        REQUIRE(cleared.size() == 1);
        CHECK(cleared.front().prints == std::vector<fingerprint>{1, 2});
        CHECK(cleared.front().started_at == start);
        CHECK(suspects_on(trials, "a") == 0);
    }
}

TEST_CASE("answer trials: a request whose short response is complete stays a suspect for a while")
{
    answer_trials trials;
    const auto trial = trials.begin("a", {1});
    trials.on_started(trial, start);
    trials.on_complete(trial, start + 40_ms);
    CHECK(trials.take_cleared(start + 1039_ms).empty());
    SECTION("no crash follows")
    {
        CHECK(trials.take_cleared(start + 1040_ms).size() == 1);
    }
    SECTION("a crash follows")
    {
        CHECK(suspects_on(trials, "a") == 1);
    }
}

TEST_CASE("answer trials: a request that was broken off proves nothing but remains a suspect for a while")
{
    answer_trials trials;
    const auto trial = trials.begin("a", {1});
    trials.on_started(trial, start);
    trials.on_broken_off(trial, start);
    SECTION("a crash follows")
    {
        CHECK(suspects_on(trials, "a") == 1);
    }
    SECTION("none follows")
    {
        CHECK(trials.take_cleared(start + 1000_ms).empty());
        CHECK(suspects_on(trials, "a") == 0);
    }
}

TEST_CASE("answer trials: only requests on the crashed host that it may have run are suspects")
{
    answer_trials trials;
    (void)trials.begin("a", {1});
    trials.discard(trials.begin("a", {2}));
    (void)trials.begin("b", {3});
    const auto suspects = trials.take_suspects("a", crash, 7_ms);
    REQUIRE(suspects.size() == 1);
    CHECK(suspects.front().crash == crash);
    CHECK(suspects.front().fingerprints == std::vector<fingerprint>{1});
    CHECK(suspects.front().age == 7_ms);
    CHECK_FALSE(suspects.front().had_started);
    CHECK(suspects_on(trials, "a") == 0);
}

} // namespace coriander
