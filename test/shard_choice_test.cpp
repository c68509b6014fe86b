#include "coriander/shard_choice.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace coriander {

TEST_CASE("shard choice: top_members returns the members of the lowest ranks, in order of rank")
{
    const std::vector<std::string> members{"a", "b", "c", "d", "e", "f", "g"};
    for (const std::string shard : {"x", "y", "z"}) {
        const auto first = top_members(shard, members, 3);
        REQUIRE(first.size() == 3);
        for (std::size_t i = 0; i < first.size(); ++i) {
            CAPTURE(shard, first[i]);
            CHECK(shard_rank(shard, first[i], members) == i);
        }
    }
}

TEST_CASE("shard choice: top_members returns all members when fewer exist than requested")
{
    CHECK(top_members("x", {"a", "b"}, 3).size() == 2);
    CHECK(top_members("x", {}, 3).empty());
}

} // namespace coriander
