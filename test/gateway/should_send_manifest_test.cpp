#include "gateway/should_send_manifest.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Daemons of which the first `reaching` reach the table.
std::vector<member_view> make_daemons(int reachable_count, int count = 60)
{
    std::vector<member_view> all(count);
    for (int i = 0; i < count; ++i) {
        all[i].identity.name = "edge-" + std::to_string(i);
        all[i].beat.table_reachable = i < reachable_count;
    }
    return all;
}

/// Names of the daemons that send a manifest that they have had for so long to the last one.
std::vector<std::string> senders_to_last(const std::vector<member_view>& daemons, time_ms held_for)
{
    std::vector<std::string> senders;
    for (const auto& one : daemons) {
        auto others = daemons;
        std::erase_if(others, [&](const auto& other) { return other.identity.name == one.identity.name; });
        if (others.size() == daemons.size() || one.identity.name == daemons.back().identity.name) {
            continue;
        }
        if (should_send_manifest(one.identity.name, one.beat.table_reachable, daemons.back(), others,
                                 held_for)) {
            senders.push_back(one.identity.name);
        }
    }
    return senders;
}

} // namespace

TEST_CASE("manifest teller: in an outage of the table not every daemon sends the manifest to every other")
{
    CHECK(senders_to_last(make_daemons(0), 900_ms).size() == 2);
}

TEST_CASE("manifest teller: among many, nobody is told before word can have come that it has the manifest")
{
    CHECK(senders_to_last(make_daemons(0), 400_ms).empty());
    CHECK(senders_to_last(make_daemons(0, 7), 0_ms).size() == 2);
}

TEST_CASE("manifest teller: a peer that the table turns away is told by daemons that reach it")
{
    const auto senders = senders_to_last(make_daemons(3), 800_ms);
    CHECK(senders.size() == 2);
    for (const auto& name : senders) {
        CHECK((name == "edge-0" || name == "edge-1" || name == "edge-2"));
    }
}

TEST_CASE("manifest teller: a peer that reaches the table is told only when it is late")
{
    CHECK(senders_to_last(make_daemons(60), 800_ms).empty());
    CHECK(senders_to_last(make_daemons(60), 1900_ms).size() == 3);
}

TEST_CASE("manifest teller: where the first ones don't reach a peer, others send it too")
{
    CHECK(senders_to_last(make_daemons(0), 5_s).size() == 7);
}

} // namespace coriander
