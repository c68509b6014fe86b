#include "gateway/manifest_teller.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Daemons of which the first `reaching` reach the table.
std::vector<member_view> daemons_with(int reaching, int count = 60)
{
    std::vector<member_view> all(count);
    for (int i = 0; i < count; ++i) {
        all[i].identity.name = "edge-" + std::to_string(i);
        all[i].heartbeat.table_reachable = i < reaching;
    }
    return all;
}

/// Names of the daemons that send a manifest that they have had for so long to the last one.
std::vector<std::string> tellers_of_last(const std::vector<member_view>& daemons, time_ms had_for)
{
    std::vector<std::string> tellers;
    for (const auto& one : daemons) {
        auto others = daemons;
        std::erase_if(others, [&](const auto& other) { return other.identity.name == one.identity.name; });
        if (others.size() == daemons.size() || one.identity.name == daemons.back().identity.name) {
            continue;
        }
        if (should_tell_manifest(one.identity.name, one.heartbeat.table_reachable, daemons.back(), others,
                                 had_for)) {
            tellers.push_back(one.identity.name);
        }
    }
    return tellers;
}

} // namespace

TEST_CASE("manifest teller: in an outage of the table not every daemon sends the manifest to every other")
{
    CHECK(tellers_of_last(daemons_with(0), 900_ms).size() == 2);
}

TEST_CASE("manifest teller: among many, nobody is told before word can have come that it has the manifest")
{
    CHECK(tellers_of_last(daemons_with(0), 400_ms).empty());
    CHECK(tellers_of_last(daemons_with(0, 7), 0_ms).size() == 2);
}

TEST_CASE("manifest teller: a peer that the table turns away is told by daemons that reach it")
{
    const auto tellers = tellers_of_last(daemons_with(3), 800_ms);
    CHECK(tellers.size() == 2);
    for (const auto& name : tellers) {
        CHECK((name == "edge-0" || name == "edge-1" || name == "edge-2"));
    }
}

TEST_CASE("manifest teller: a peer that reaches the table is told only when it is late")
{
    CHECK(tellers_of_last(daemons_with(60), 800_ms).empty());
    CHECK(tellers_of_last(daemons_with(60), 1900_ms).size() == 3);
}

TEST_CASE("manifest teller: where the first ones don't reach a peer, others send it too")
{
    CHECK(tellers_of_last(daemons_with(0), 5_s).size() == 7);
}

} // namespace coriander
