#include "coriander/relay/target_pool.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;

relay_target target_named(const std::string& id, const std::string& domain = "gent")
{
    return {id, id + "-leader", "127.0.0.1:1", domain, "m", 1, 26, 1.0};
}

target_pool board_of(const std::vector<relay_target>& targets)
{
    target_pool board;
    board.set_targets(targets);
    return board;
}

std::string chosen(const target_pool& board, time_ms now, std::size_t daemons = 1,
                   const std::vector<std::string>& tried = {})
{
    const auto choice = board.choose({"m", "gent", tried, daemons}, 0.5, now);
    return choice ? choice->target.id : "none";
}

} // namespace

TEST_CASE("target board: the least loaded target is chosen")
{
    auto board = board_of({target_named("a"), target_named("b")});
    for (int i = 0; i < 3; ++i) {
        board.on_sent("a", start);
    }
    CHECK(chosen(board, start) == "b");
}

TEST_CASE("target board: between equals the own failure domain is preferred")
{
    const auto board = board_of({target_named("a", "leuven"), target_named("b", "gent")});
    CHECK(chosen(board, start) == "b");
}

TEST_CASE("target board: a target that was tried or serves another model is not chosen")
{
    const auto board = board_of({target_named("a")});
    CHECK(chosen(board, start, 1, {"a"}) == "none");
    CHECK_FALSE(board.choose({"other", "gent", {}, 1}, 0.5, start));
}

TEST_CASE("target board: others' requests are known from the load that a target tells")
{
    auto board = board_of({target_named("a"), target_named("b")});
    board.on_load("a", 20, 3, start);
    CHECK(chosen(board, start) == "b");
    const auto choice = board.choose({"m", "gent", std::vector<std::string>{"b"}, 1}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0));
}

TEST_CASE("target board: a full target is tried again after its report has grown old")
{
    auto board = board_of({target_named("a")});
    board.on_load("a", 26, 14, start);
    const auto choice = board.choose({"m", "gent", {}, 7}, 0.5, start + 3_s);
    REQUIRE(choice);
    CHECK(choice->total() < 1.0);
}

TEST_CASE("target board: without fresh reports the others are taken to send as much as this daemon")
{
    auto board = board_of({target_named("a")});
    for (int i = 0; i < 4; ++i) {
        board.on_sent("a", start);
    }
    const auto choice = board.choose({"m", "gent", {}, 7}, 0.5, start + 5_s);
    REQUIRE(choice);
    CHECK(choice->total() == Approx(28.0));
}

TEST_CASE("target board: a load that a target told another daemon is known")
{
    auto teller = board_of({target_named("a"), target_named("b")});
    auto other = board_of({target_named("a"), target_named("b")});
    teller.on_load("a", 20, 3, start);
    for (const auto& report : teller.reports(10, start)) {
        other.on_peer_report(report, start);
    }
    const auto choice = other.choose({"m", "gent", std::vector<std::string>{"b"}, 1}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0));
}

TEST_CASE("target board: an older report of a peer does not replace a newer one")
{
    auto board = board_of({target_named("a")});
    board.on_load("a", 20, 3, start);
    auto report = board.reports(1, start).front();
    report.running = 0;
    report.waiting = 0;
    report.age = 200_ms;
    board.on_peer_report(report, start + 100_ms);
    CHECK(board.choose({"m", "gent", {}, 1}, 0.5, start)->other_requests == Approx(23.0));
}

TEST_CASE("target board: a report of a former generation is ignored")
{
    auto former = board_of({target_named("a")});
    former.on_load("a", 20, 3, start);
    auto renewed = target_named("a");
    renewed.generation = 2;
    auto board = board_of({renewed});
    board.on_peer_report(former.reports(1, start).front(), start);
    CHECK(board.reports(1, start).empty());
}

TEST_CASE("target board: the newest reports are told, and none that says nothing of the present")
{
    auto board = board_of({target_named("a"), target_named("b"), target_named("c")});
    board.on_load("a", 1, 0, start);
    board.on_load("b", 2, 0, start + 2_s);
    board.on_load("c", 3, 0, start + 2100_ms);
    const auto reports = board.reports(2, start + 2200_ms);
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].running == 3);
    CHECK(reports[0].age == 100_ms);
    CHECK(reports[1].running == 2);
}

TEST_CASE("target board: a target without a report is taken to be as loaded as those that told theirs")
{
    auto board = board_of({target_named("a"), target_named("b")});
    board.on_load("a", 20, 3, start);
    const auto choice = board.choose({"m", "gent", std::vector<std::string>{"a"}, 60}, 0.5, start);
    REQUIRE(choice);
    CHECK(choice->other_requests == Approx(23.0).epsilon(0.05));
}

TEST_CASE("target board: many daemons that know the same do not all choose the emptiest target")
{
    auto board = board_of({target_named("a"), target_named("b")});
    board.on_load("a", 0, 0, start);
    board.on_load("b", 5, 0, start);
    int emptiest = 0;
    for (int i = 0; i < 100; ++i) {
        const auto choice = board.choose({"m", "gent", {}, 60}, i / 100.0, start);
        emptiest += choice->target.id == "a" ? 1 : 0;
    }
    CHECK(emptiest > 50);
    CHECK(emptiest < 90);
}

TEST_CASE("target board: failures in a row take a target out of rotation for a while")
{
    auto board = board_of({target_named("a")});
    for (int i = 0; i < 3; ++i) {
        board.on_sent("a", start);
        board.on_ended("a", false, true, start);
    }
    CHECK(chosen(board, start + 100_ms) == "none");
    CHECK(chosen(board, start + 2_s) == "a");
}

TEST_CASE("target board: a success between failures clears them")
{
    auto board = board_of({target_named("a")});
    for (int i = 0; i < 6; ++i) {
        board.on_sent("a", start);
        board.on_ended("a", true, i % 3 != 2, start);
    }
    CHECK(chosen(board, start) == "a");
}

TEST_CASE("target board: a target that left gets nothing new, and its open requests are still counted")
{
    auto board = board_of({target_named("a")});
    board.on_sent("a", start);
    board.set_targets({});
    CHECK(chosen(board, start) == "none");
    CHECK(board.own_requests("a") == 1);
    board.on_ended("a", true, false, start);
    CHECK(board.own_requests("a") == 0);
}

TEST_CASE("target board: a replica that was formed anew begins without its past")
{
    auto board = board_of({target_named("a")});
    board.suspend("a", suspension::stalled, start + 60_s);
    auto again = target_named("a");
    again.generation = 2;
    board.set_targets(std::vector{again});
    CHECK(chosen(board, start) == "a");
}

TEST_CASE("target board: a target whose streams all stand still is suspected, others are not")
{
    auto board = board_of({target_named("a"), target_named("b")});
    for (const auto* id : {"a", "b"}) {
        board.on_sent(id, start);
        board.on_response_started(id, start);
    }
    board.on_progress("b", start + 300_ms);
    const auto suspects = board.suspects(start + 320_ms);
    REQUIRE(suspects.size() == 1);
    CHECK(suspects[0].id == "a");
}

} // namespace coriander
