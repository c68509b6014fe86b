#include "gateway/manifest_source.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("manifest source: a restored table's older manifest does not replace the one in force")
{
    CHECK(replaces_manifest({5, "new"}, manifest_source::table, {0, ""}));
    CHECK(replaces_manifest({6, "newer"}, manifest_source::peer, {5, "new"}));
    CHECK_FALSE(replaces_manifest({4, "old"}, manifest_source::table, {5, "new"}));
    CHECK_FALSE(replaces_manifest({4, "old"}, manifest_source::peer, {5, "new"}));
    CHECK_FALSE(replaces_manifest({5, "new"}, manifest_source::table, {5, "new"}));
}

TEST_CASE(
    "manifest source: a version that the operator uses again after a restore is taken from the table only")
{
    CHECK(replaces_manifest({5, "again"}, manifest_source::table, {5, "lost"}));
    CHECK_FALSE(replaces_manifest({5, "lost"}, manifest_source::peer, {5, "again"}));
}

} // namespace coriander
