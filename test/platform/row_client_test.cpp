#include "support/scripted_store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander::platform {
namespace {

/// The outcome of a write to a store that gives the scripted response.
commit_state outcome_of_write(const std::string& scripted)
{
    scripted_store store{{scripted}};
    std::optional<commit_state> state;
    store.rows.write({"t", "k", "v", {0, 3}},
                     [&](commit_state how, row_version /*version*/) { state = how; });
    REQUIRE(store.loop.run_until([&] { return state.has_value(); }));
    return *state;
}

} // namespace

TEST_CASE("row client: Base64 encoding and decoding restore any bytes")
{
    rc::prop("any bytes", [](const std::string& bytes) {
        RC_PRE(!bytes.empty());
        RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
    });
    CHECK(encode_base64("node-0") == "bm9kZS0w");
    CHECK_FALSE(decode_base64("no base64!"));
    CHECK_FALSE(decode_base64(""));
}

TEST_CASE("row client: a write's outcome follows from the store's response")
{
    struct outcome {
        std::string scripted;
        commit_state expected;
    };
    const auto one =
        GENERATE(outcome{answer(200, R"({"ver":9})"), commit_state::applied},
                 outcome{answer(412, R"({"rows":[]})"), commit_state::conflict},
                 outcome{answer(503, ""), commit_state::not_applied},
                 outcome{answer(429, ""), commit_state::not_applied}, outcome{"cut", commit_state::unknown},
                 outcome{answer(500, ""), commit_state::unknown},
                 outcome{"HTTP/1.1 000 X\r\nContent-Length: 9\r\n\r\n{\"ver\":9}", commit_state::unknown});
    CAPTURE(one.scripted);
    CHECK(outcome_of_write(one.scripted) == one.expected);
}

TEST_CASE("row client: a page with an invalid status is not used")
{
    const auto* const status = GENERATE("000", "099", "600");
    CAPTURE(status);
    auto response = page(row("k", "v", 3), 3);
    scripted_store store{{response.replace(response.find("200"), 3, status)}};
    std::optional<error_kind> problem;
    store.rows.read("t", {}, [&](const result<row_page>& read) {
        REQUIRE_FALSE(read);
        problem = read.error().kind;
    });
    REQUIRE(store.loop.run_until([&] { return problem.has_value(); }));
    CHECK(*problem == error_kind::unavailable);
}

TEST_CASE("row client: a write that expects a version of an earlier era is a conflict and is not sent")
{
    scripted_store store{{in_era(1, page(row("k", "v", 3), 3)), in_era(2, page("", 3))}};
    std::optional<commit_state> state;
    unsigned pages = 0;
    const auto count_page = [&](const result<row_page>& /*page*/) { ++pages; };
    store.rows.read("t", {}, count_page);
    REQUIRE(store.loop.run_until([&] { return pages == 1; }));
    store.rows.read("t", {}, count_page);
    REQUIRE(store.loop.run_until([&] { return pages == 2; }));
    store.rows.write({"t", "k", "v", {1, 3}},
                     [&](commit_state how, row_version /*version*/) { state = how; });
    REQUIRE(store.loop.run_until([&] { return state.has_value(); }));
    CHECK(*state == commit_state::conflict);
    CHECK(store.server.requests().size() == 2);
}

TEST_CASE("row client: an answer without an era, as of an older store, changes nothing")
{
    scripted_store store{{page("", 1), in_era(3, page("", 2)), page("", 3)}};
    std::vector<row_version> versions;
    unsigned restores = 0;
    store.rows.add_restore_listener([&] { ++restores; });
    for (std::size_t i = 1; i <= 3; ++i) {
        store.rows.read("t", {},
                        [&](const result<row_page>& got) { versions.push_back(got.value().version); });
        REQUIRE(store.loop.run_until([&] { return versions.size() == i; }));
    }
    CHECK(versions == std::vector<row_version>{{0, 1}, {3, 2}, {3, 3}});
    CHECK(restores == 1);
}

TEST_CASE("row client: a row that can't be decoded counts as deleted and does not affect the others")
{
    scripted_store store{{page(R"({"key":"bad","value":"%%","ver":1},17,)" + row("good", "v", 2), 5)}};
    std::optional<row_page> read;
    store.rows.read("t", {}, [&](result<row_page> got) { read = got.value(); });
    REQUIRE(store.loop.run_until([&] { return read.has_value(); }));
    REQUIRE(read->rows.size() == 2);
    CHECK_FALSE(read->rows[0].value);
    CHECK(read->rows[1].value == "v");
    CHECK(read->version.number == 5);
}

} // namespace coriander::platform
