#include "coriander/departed_rows.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("departed rows: a row that comes back with an earlier copy is stale")
{
    departed_rows rows;
    rows.add("a", {1, 40}, {1, 50}, 0_s);
    CHECK(rows.is_stale("a", {2, 40}));
    CHECK(rows.is_stale("a", {2, 7})); // The copy may be older than the last write.
}

TEST_CASE("departed rows: a row that was written again is not stale")
{
    departed_rows rows;
    rows.add("a", {1, 40}, {1, 50}, 0_s);
    SECTION("after the restore")
    {
        CHECK_FALSE(rows.is_stale("a", {2, 41}));
    }
    SECTION("in the era of its deletion")
    {
        CHECK_FALSE(rows.is_stale("a", {1, 51}));
    }
    SECTION("and noted as such")
    {
        rows.remove("a");
        CHECK_FALSE(rows.is_stale("a", {2, 40}));
    }
}

TEST_CASE("departed rows: a row that the copy lacks and that is written later is not stale")
{
    departed_rows rows;
    rows.add("a", {1, 40}, {2, 30}, 0_s); // Its absence was read after the restore.
    CHECK_FALSE(rows.is_stale("a", {2, 35}));
    CHECK(rows.is_stale("a", {3, 35}));
}

TEST_CASE("departed rows: a deletion is forgotten after a minute")
{
    departed_rows rows;
    rows.add("a", {1, 40}, {1, 50}, 0_s);
    rows.add("b", {1, 41}, {1, 51}, 61_s);
    CHECK_FALSE(rows.is_stale("a", {2, 40}));
    CHECK(rows.is_stale("b", {2, 41}));
}

} // namespace coriander
