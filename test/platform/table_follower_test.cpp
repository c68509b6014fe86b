#include "table_follower.hpp"

#include "support/scripted_store.hpp"

#include <catch2/catch.hpp>

#include <cstring>

namespace coriander::platform {
namespace {

/// A follower of a table `t`, with the rows and news that it has passed on.
struct followed_table {
    followed_table(std::deque<std::string> answers, table_follower_settings settings)
        : store{std::move(answers)}, follower{store.loop.context(), store.rows, std::move(settings),
                                              [this](const changed_row& changed) {
                                                  this->rows[changed.key] = changed.value.value_or("gone");
                                                  this->writes += changed.value ? 1 : 0;
                                              },
                                              [] {}}
    {
        this->follower.set_sharing({[this] { return this->is_reader; },
                                    [this](const table_delta& news) { this->published.push_back(news); }});
    }

    void start()
    {
        this->follower.start();
        REQUIRE(this->store.loop.run_until([this] { return this->follower.has_synced(); }));
    }

    void wait_longer_than(time_ms length)
    {
        const monotonic_clock clock;
        const auto begun = clock.now();
        REQUIRE(this->store.loop.run_until([&] { return clock.now() - begun > length; }));
    }

    /// How long a poll lets the store wait for changes.
    [[nodiscard]] time_ms wait_of_request(std::size_t number) const
    {
        const auto& text = this->store.server.requests()[number];
        const auto at = text.find("wait_ms=");
        REQUIRE(at != std::string::npos);
        return time_ms{std::stoll(text.substr(at + std::strlen("wait_ms=")))};
    }

    [[nodiscard]] std::size_t request_count() const { return this->store.server.requests().size(); }

    scripted_store store;
    std::map<std::string, std::string> rows;
    std::size_t writes = 0; ///< Rows with a value that were passed on.
    std::vector<table_delta> published;
    bool is_reader = false;
    table_follower follower;
};

/// Longer than any test, so that the store is not polled a second time.
constexpr time_ms long_interval = 3600_s;

} // namespace

TEST_CASE("table follower: reads all pages, then changes, and a new snapshot when the changes are no longer "
          "available")
{
    scripted_store store{{page(row("a", "1", 1), 5, true), page(row("b", "1", 2), 6),
                          page(row("a", "2", 7), 7), answer(410, ""), page(row("b", "3", 9), 9)}};
    std::map<std::string, std::string> table;
    table_follower follower{store.loop.context(),
                            store.rows,
                            {"t", 1_s, {}, {}, {}},
                            [&](const changed_row& changed) {
                                if (changed.value) {
                                    table[changed.key] = *changed.value;
                                }
                                else {
                                    table.erase(changed.key);
                                }
                            },
                            [] {}};
    follower.start();
    REQUIRE(store.loop.run_until([&] { return table.size() == 1 && table["b"] == "3"; }));
    CHECK(follower.has_synced());
    REQUIRE(store.server.requests().size() >= 5);
    // Changes are read from the first page's version on, so that none between the pages is missed.
    CHECK(store.server.requests()[2].find("after=5") != std::string::npos);
    CHECK(store.server.requests()[3].find("after=7") != std::string::npos);
}

TEST_CASE("table follower: misses no row when a restored store has passed the known version again")
{
    followed_table table{{in_era(1, page(row("a", "1", 1) + "," + row("b", "1", 2), 5)),
                          in_era(2, page(row("c", "2", 6), 6)),
                          in_era(2, page(row("a", "2", 4) + "," + row("c", "2", 6), 6))},
                         {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.rows == std::map<std::string, std::string>{{"a", "2"}, {"b", "gone"}, {"c", "2"}});
    CHECK(table.store.server.requests()[3].find("after=6") != std::string::npos);
}

TEST_CASE("table follower: has the rows of a store that has gone back without naming a new era")
{
    followed_table table{
        {page(row("a", "1", 7) + "," + row("b", "1", 8), 9), answer(410, ""), page(row("a", "2", 3), 4)},
        {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.rows == std::map<std::string, std::string>{{"a", "2"}, {"b", "gone"}});
    CHECK(table.store.server.requests()[3].find("after=4") != std::string::npos);
}

TEST_CASE("table follower: an answer from before a restore that arrives after it is not applied")
{
    followed_table table{{in_era(2, page(row("a", "2", 4), 4)), in_era(1, page(row("a", "1", 9), 9)),
                          in_era(2, page(row("a", "2", 4), 4))},
                         {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.rows["a"] == "2");
    CHECK(table.store.server.requests()[3].find("after=4") != std::string::npos);
}

TEST_CASE("table follower: rows that a restored store lacks are kept for the grace period")
{
    followed_table table{
        {in_era(1, page(row("a", "1", 1), 5)), in_era(2, answer(410, "")), in_era(2, page("", 3))},
        {"t", 1_s, {}, long_interval, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.rows["a"] == "1");
}

// Guards against targets that have left being used again after the store has gone back.
TEST_CASE("table follower: a row that was deleted before a restore is not used because the copy has it")
{
    const std::string deletion = page(R"({"key":"a","ver":6,"deleted":true})", 6);
    const std::string copy = in_era(2, page(row("a", "1", 1), 5));
    followed_table table{{in_era(1, page(row("a", "1", 1), 5)), in_era(1, deletion), copy, copy},
                         {"t", 1_s, {}, {}, {}, {}, {}, long_interval, long_interval}};
    SECTION("while it is not written")
    {
        table.start();
        REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 5; }));
        CHECK(table.rows["a"] == "gone");
        CHECK(table.writes == 1);
    }
    SECTION("until it is written again")
    {
        table.store.responses.push_back(in_era(2, page(row("a", "2", 6), 6)));
        table.start();
        REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "2"; }));
        CHECK(table.writes == 2);
    }
    SECTION("and its second deletion has no effect")
    {
        table.store.responses.push_back(in_era(2, deletion));
        table.start();
        REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 6; }));
        CHECK(table.rows["a"] == "gone");
        CHECK(table.writes == 1);
    }
}

TEST_CASE("table follower: a row that a restored store keeps is used in the end")
{
    const std::string copy = in_era(2, page(row("a", "1", 1), 5));
    followed_table table{{in_era(1, page(row("a", "1", 1), 5)),
                          in_era(1, page(R"({"key":"a","ver":6,"deleted":true})", 6)), copy, copy},
                         {"t", 1_s, {}, {}, {}, {}, {}, long_interval, 300_ms}};
    table.store.default_response = in_era(2, page("", 5));
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.writes == 2; }));
    CHECK(table.rows["a"] == "1");
}

// Guards against a crash of the log line about a deletion that the same response takes back.
TEST_CASE("table follower: a row that is deleted and written again in one response during the grace period")
{
    followed_table table{{page(row("a", "1", 1), 5), "cut",
                          page(R"({"key":"a","ver":6,"deleted":true},)" + row("a", "2", 7), 7)},
                         {"t", 1_s, 50_ms, 3600_s, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.rows["a"] == "2");
}

TEST_CASE("table follower: retries while the store is unreachable, and keeps the known rows")
{
    scripted_store store{{page(row("a", "1", 1), 5), "cut", answer(503, ""), page(row("a", "2", 8), 8)}};
    std::string value;
    table_follower follower{store.loop.context(),
                            store.rows,
                            {"t", 1_s, {}, {}, {}},
                            [&](const changed_row& changed) { value = changed.value.value_or("gone"); },
                            [] {}};
    follower.start();
    REQUIRE(store.loop.run_until([&] { return value == "2"; }));
    CHECK_FALSE(follower.is_failing());
}

TEST_CASE("table follower: deletions of rows that expired during an outage of any length are deferred")
{
    const auto busy = answer(503, "");
    // The fourth failure comes 700 ms after the first; the grace period is 300 ms.
    const auto outage = GENERATE_COPY(std::vector<std::string>{"cut"}, std::vector<std::string>(4, busy));
    CAPTURE(outage.size());
    std::deque<std::string> answers{page(row("a", "1", 1) + "," + row("b", "1", 1), 5)};
    answers.insert(answers.end(), outage.begin(), outage.end());
    answers.push_back(page(R"({"key":"a","ver":7,"deleted":true},{"key":"b","ver":7,"deleted":true})", 7));
    answers.push_back(page(row("a", "2", 8), 8));
    scripted_store store{answers};
    store.default_response = page("", 8);
    std::map<std::string, std::string> table;
    bool a_was_missing = false;
    table_follower follower{store.loop.context(),
                            store.rows,
                            {"t", {}, 50_ms, 300_ms, {}},
                            [&](const changed_row& changed) {
                                table[changed.key] = changed.value.value_or("gone");
                                a_was_missing = a_was_missing || table["a"] == "gone";
                            },
                            [] {}};
    follower.start();
    REQUIRE(store.loop.run_until([&] { return table["b"] == "gone"; }));
    CHECK(table["a"] == "2");
    CHECK_FALSE(a_was_missing);
}

// Guards against the grace period of deletions beginning long after the store has come back.
TEST_CASE("table follower: an unreachable store is not asked to wait for changes")
{
    followed_table table{{page(row("a", "1", 1), 5), "cut", page("", 5)}, {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    CHECK(table.wait_of_request(1) == 1_s);
    CHECK(table.wait_of_request(2) == 0_ms);
    CHECK(table.wait_of_request(3) == 1_s);
}

// Guards against deferred deletions taking effect long after the grace period.
TEST_CASE("table follower: a poll does not last beyond the grace period of the deletions that it defers")
{
    constexpr time_ms grace = 300_ms;
    followed_table table{{page(row("a", "1", 1), 5), "cut", page(R"({"key":"a","ver":7,"deleted":true})", 7)},
                         {"t", long_interval, 50_ms, grace, {}}};
    table.store.default_response = page("", 7);
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "gone"; }));
    REQUIRE(table.request_count() >= 4);
    for (std::size_t i = 3; i < table.request_count(); ++i) {
        CHECK(table.wait_of_request(i) <= grace);
    }
}

TEST_CASE("table follower: a reader publishes the changes that it reads, with the version that they follow")
{
    followed_table table{{page(row("a", "1", 1), 5), page(row("a", "2", 7), 7), page("", 7)},
                         {"t", 1_s, {}, {}, 1_s}};
    table.is_reader = true;
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.published.size() == 2; }));
    CHECK(table.published[0].table == "t");
    CHECK(table.published[0].from == row_version{0, 5});
    CHECK(table.published[0].to == row_version{0, 7});
    REQUIRE(table.published[0].rows.size() == 1);
    CHECK(table.published[0].rows[0].value == "2");
    // A response without changes is published as well, so that the others need not poll.
    CHECK(table.published[1].rows.empty());
}

TEST_CASE("table follower: applies news and does not poll the store meanwhile")
{
    followed_table table{{page(row("a", "1", 1) + "," + row("b", "1", 2), 5)},
                         {"t", {}, long_interval, {}, long_interval}};
    table.start();
    table.follower.apply_news({"t", {0, 5}, {0, 9}, {}, {{"a", "2", {0, 8}}, {"b", std::nullopt, {0, 9}}}});
    CHECK(table.rows["a"] == "2");
    CHECK(table.rows["b"] == "gone");
    table.follower.apply_news({"t", {0, 9}, {0, 12}, {}, {{"a", "3", {0, 12}}}});
    CHECK(table.rows["a"] == "3");
    // Stale and duplicate news have no effect.
    table.follower.apply_news({"t", {0, 5}, {0, 9}, {}, {{"a", "2", {0, 8}}}});
    CHECK(table.rows["a"] == "3");
    CHECK(table.request_count() == 1);
    CHECK(table.published.empty());
}

TEST_CASE("table follower: ignores news that leave a gap, and polls the store at once")
{
    followed_table table{{page(row("a", "1", 1), 5), page(row("a", "2", 7), 9)},
                         {"t", {}, long_interval, {}, long_interval}};
    table.start();
    table.follower.apply_news({"t", {0, 8}, {0, 9}, {}, {}});
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "2"; }));
    CHECK(table.store.server.requests()[1].find("after=5") != std::string::npos);
}

TEST_CASE("table follower: polls the store when no news come")
{
    followed_table table{{page(row("a", "1", 1), 5), page(row("a", "2", 7), 7)},
                         {"t", {}, long_interval, {}, 20_ms}};
    table.start();
    table.follower.apply_news({"t", {0, 5}, {0, 5}, {}, {}});
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "2"; }));
}

TEST_CASE("table follower: defers deletions in news until the grace period after an outage ends")
{
    followed_table table{{page(row("a", "1", 1) + "," + row("b", "1", 1), 5)},
                         {"t", {}, long_interval, 3600_s, long_interval, {}, {}, 0_ms}};
    table.start();
    table.wait_longer_than(0_ms);
    table.follower.apply_news(
        {"t", {0, 5}, {0, 6}, 3600_s, {{"a", std::nullopt, {0, 6}}, {"b", std::nullopt, {0, 6}}}});
    table.follower.apply_news({"t", {0, 6}, {0, 7}, 3600_s, {{"a", "2", {0, 7}}}});
    CHECK(table.rows["a"] == "2");
    CHECK(table.rows["b"] == "1");
}

// Guards against targets that have left being used as long as a single daemon's path to the store comes and
// goes.
TEST_CASE("table follower: does not defer deletions because another daemon had lost the store")
{
    followed_table table{{page(row("a", "1", 1) + "," + row("b", "1", 1), 5)},
                         {"t", {}, long_interval, 3600_s, long_interval, {}, {}, long_interval}};
    table.start();
    table.follower.apply_news({"t", {0, 5}, {0, 6}, 3600_s, {{"a", std::nullopt, {0, 6}}}});
    CHECK(table.rows["a"] == "gone");
    table.follower.apply_news({"t", {0, 6}, {0, 7}, 3600_s, {{"b", std::nullopt, {0, 7}}}});
    CHECK(table.rows["b"] == "gone");
}

// Guards against a daemon that was cut off from the store using targets that have left once it is back.
TEST_CASE("table follower: applies deferred deletions at once when another daemon had contact all the time")
{
    const auto has_sender_lost_store = GENERATE(false, true);
    followed_table table{{page(row("a", "1", 1), 5), "cut", page(R"({"key":"a","ver":7,"deleted":true})", 7)},
                         {"t", {}, 50_ms, 3600_s, long_interval, {}, {}, 0_ms}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 4; }));
    REQUIRE(table.rows["a"] == "1");
    table.follower.apply_news({"t", {0, 7}, {0, 7}, has_sender_lost_store ? 3600_s : 0_ms, {}});
    CHECK(table.rows["a"] == (has_sender_lost_store ? "1" : "gone"));
}

TEST_CASE(
    "table follower: a reader that had lost the store tells the others of no outage if they had contact")
{
    const auto is_informed = GENERATE(true, false);
    followed_table table{{page(row("a", "1", 1), 5), "cut", page(row("a", "2", 7), 7)},
                         {"t", 1_s, {}, 3600_s, 1_s, {}, {}, long_interval}};
    table.is_reader = true;
    table.start();
    if (is_informed) {
        table.follower.apply_news({"t", {0, 5}, {0, 5}, {}, {}});
    }
    REQUIRE(table.store.loop.run_until([&] { return !table.published.empty(); }));
    // Without a word of the others, the contact since the start of the process is all that it knows of.
    CHECK((table.published[0].grace == 0_ms) == is_informed);
}

TEST_CASE("table follower: a delta from before a restore does not hide rows of the new era")
{
    followed_table table{{in_era(2, page(row("a", "2", 4), 4)), in_era(2, page(row("a", "3", 6), 6))},
                         {"t", {}, long_interval, {}, long_interval}};
    table.start();
    table.follower.apply_news({"t", {1, 4}, {1, 9}, {}, {{"a", "1", {1, 9}}}});
    CHECK(table.rows["a"] == "2");
    table.follower.poll_now();
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "3"; }));
    CHECK(table.store.server.requests()[1].find("after=4") != std::string::npos);
}

TEST_CASE("table follower: a delta from after a restore leads to a new snapshot, not to a gap")
{
    followed_table table{{in_era(1, page(row("a", "1", 1) + "," + row("b", "1", 2), 5)),
                          in_era(2, page(row("a", "2", 3) + "," + row("c", "2", 7), 7))},
                         {"t", {}, long_interval, {}, long_interval}};
    table.start();
    table.follower.apply_news({"t", {2, 5}, {2, 7}, {}, {{"c", "2", {2, 7}}}});
    REQUIRE(table.store.loop.run_until([&] { return table.rows["c"] == "2"; }));
    CHECK(table.rows == std::map<std::string, std::string>{{"a", "2"}, {"b", "gone"}, {"c", "2"}});
    CHECK(table.store.server.requests()[1].find("rows-get") != std::string::npos);
}

TEST_CASE("table follower: a delta from after a restore is applied while the store is unreachable from here")
{
    followed_table table{{in_era(1, page(row("a", "1", 1), 5)), "cut"}, {"t", {}, long_interval, {}, 3600_s}};
    table.start();
    table.follower.poll_now();
    REQUIRE(table.store.loop.run_until([&] { return table.follower.is_failing(); }));
    table.follower.apply_news({"t", {2, 3}, {2, 4}, {}, {{"a", "2", {2, 4}}}});
    CHECK(table.rows["a"] == "2");
}

TEST_CASE("table follower: a snapshot that breaks off is read again from its first page")
{
    followed_table table{{page(row("a", "1", 1), 5), answer(410, ""), page(row("a", "2", 7), 9, true), "cut",
                          page(row("a", "2", 7), 9, true), page(row("b", "2", 8), 9)},
                         {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.request_count() == 7; }));
    CHECK(table.rows["b"] == "2");
    CHECK(table.store.server.requests()[4].find("rows-get") != std::string::npos);
    CHECK(table.store.server.requests()[4].find("from=") == std::string::npos);
}

TEST_CASE("table follower: a store whose era falls is not asked again and again without a delay")
{
    std::deque<std::string> answers{in_era(9, page(row("a", "1", 5), 5))};
    answers.resize(20, in_era(2, page(row("a", "1", 6), 6)));
    followed_table table{answers, {"t", 1_s, {}, {}, {}}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.follower.is_failing(); }));
    CHECK(table.request_count() <= 4);
}

TEST_CASE("table follower: after an outage, reads the newest rows and not each version since")
{
    followed_table table{{page(row("a", "1", 1), 5), "cut", page(row("a", "120", 125), 125)},
                         {"t", 1_s, {}, {}, {}, 400_ms}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "120"; }));
    CHECK(table.store.server.requests()[1].find("rows-feed") != std::string::npos);
    CHECK(table.store.server.requests()[2].find("rows-get") != std::string::npos);
}

TEST_CASE("table follower: changes in quick succession are read as the rows are, not one by one")
{
    followed_table table{{page(row("a", "1", 1), 1), page(row("a", "2", 2), 2), page(row("a", "3", 3), 3),
                          page(row("a", "9", 9), 9), page(row("a", "9", 9), 9), page(row("a", "10", 10), 10)},
                         {"t", 1_s, {}, {}, {}, 400_ms}};
    table.start();
    REQUIRE(table.store.loop.run_until([&] { return table.rows["a"] == "10"; }));
    const auto is_feed = [&](std::size_t i) {
        return table.store.server.requests()[i].find("rows-feed") != std::string::npos;
    };
    CHECK(is_feed(1));
    CHECK(is_feed(2));
    CHECK_FALSE(is_feed(3)); // Version 3 followed version 2 at once.
    CHECK_FALSE(is_feed(4)); // Version 9 has come since.
    CHECK(is_feed(5));       // Nothing has.
}

} // namespace coriander::platform
