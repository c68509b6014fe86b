#include "gateway/should_send_manifest.hpp"

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

/// Names of the daemons that send the last daemon a manifest that they received `had_for` ago.
std::vector<std::string> senders_to_last(const std::vector<member_view>& daemons, time_ms had_for)
{
    std::vector<std::string> senders;
    for (const auto& one : daemons) {
        auto others = daemons;
        std::erase_if(others, [&](const auto& other) { return other.identity.name == one.identity.name; });
        if (others.size() == daemons.size() || one.identity.name == daemons.back().identity.name) {
            continue;
        }
        if (should_send_manifest(one.identity.name, one.heartbeat.table_reachable, daemons.back(), others,
                                 had_for)) {
            senders.push_back(one.identity.name);
        }
    }
    return senders;
}

} // namespace

TEST_CASE("should send manifest: in an outage of the table only the initial senders send it")
{
    CHECK(senders_to_last(daemons_with(0), 900_ms).size() == 2);
}

TEST_CASE("should send manifest: with many daemons, none sends before a peer's heartbeat can have arrived")
{
    CHECK(senders_to_last(daemons_with(0), 400_ms).empty());
    CHECK(senders_to_last(daemons_with(0, 7), 0_ms).size() == 2);
}

TEST_CASE("should send manifest: a peer that can't reach the table gets it from daemons that can")
{
    const auto senders = senders_to_last(daemons_with(3), 800_ms);
    CHECK(senders.size() == 2);
    for (const auto& name : senders) {
        CHECK((name == "edge-0" || name == "edge-1" || name == "edge-2"));
    }
}

TEST_CASE("should send manifest: a peer that reaches the table gets it only when it is late")
{
    CHECK(senders_to_last(daemons_with(60), 800_ms).empty());
    CHECK(senders_to_last(daemons_with(60), 1900_ms).size() == 3);
}

TEST_CASE("should send manifest: if the initial senders don't reach a peer, others send it too")
{
    CHECK(senders_to_last(daemons_with(0), 5_s).size() == 7);
}

} // namespace coriander
