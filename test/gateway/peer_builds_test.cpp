#include "gateway/peer_builds.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

member_identity reported(const std::string& name, std::uint64_t incarnation, feature_set features,
                         const std::string& build)
{
    return {name, incarnation, {}, {}, {}, {}, features, build};
}

} // namespace

TEST_CASE("peer builds: the first gateway of each build is logged, and each gateway that changes")
{
    peer_builds builds;
    CHECK(builds.note(reported("a", 1, {}, "")));
    CHECK_FALSE(builds.note(reported("a", 1, {}, "")));
    CHECK_FALSE(builds.note(reported("b", 1, {}, "")));
    const auto replaced = builds.note(reported("a", 2, gateway_features, "0.1.0+new"));
    REQUIRE(replaced);
    CHECK(replaced->gateway.build == "0.1.0+new");
    CHECK(replaced->build_before.empty());
    CHECK(builds.note(reported("b", 2, gateway_features, "0.1.0+new")));
    CHECK_FALSE(builds.note(reported("c", 1, gateway_features, "0.1.0+new")));
    CHECK(builds.note(reported("c", 1, {}, "0.1.0+new")));
    const auto rolled_back = builds.note(reported("a", 3, {}, ""));
    REQUIRE(rolled_back);
    CHECK(rolled_back->build_before == "0.1.0+new");
}

TEST_CASE("peer builds: the row of an earlier process is no change")
{
    peer_builds builds;
    CHECK(builds.note(reported("a", 2, gateway_features, "0.1.0+new")));
    CHECK_FALSE(builds.note(reported("a", 1, {}, "")));
    CHECK_FALSE(builds.note(reported("a", 2, gateway_features, "0.1.0+new")));
}

TEST_CASE("peer builds: thousands of gateways that come and go give few lines")
{
    peer_builds builds;
    int lines = 0;
    for (int i = 0; i < 5000; ++i) {
        lines += builds.note(reported("gw-" + std::to_string(i), 1, {}, "0.1.0+same")) ? 1 : 0;
    }
    CHECK(lines <= 5);
}

} // namespace coriander
