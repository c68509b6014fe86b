#include "gateway/gateway_peers.hpp"

#include "runtime/metrics.hpp"
#include "support/event_loop.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace coriander {
namespace {

/// A gateway's connections to its peers, and peers that report to it.
class reported_peers {
public:
    /// The peer sends its identity and a heartbeat.
    void report(const std::string& name, feature_set features, const std::string& build = "0.1.0+old",
                std::uint64_t incarnation = 1, bool has_key = true)
    {
        peer_message message;
        message.identities = {identity_of(name, features, build, incarnation)};
        message.beats = {{member_id(name), incarnation, ++this->beats, 0, false, true}};
        if (has_key) {
            message.relay_key = mac_key{1};
        }
        this->from.send("127.0.0.1:" + std::to_string(this->peers.port()), message);
        const auto is_known = [&] {
            const auto known = this->peers.serving();
            return std::any_of(known.begin(), known.end(), [&](const member_identity& one) {
                return one.name == name && one.incarnation == incarnation;
            });
        };
        REQUIRE(this->loop.run_until(is_known));
    }

    [[nodiscard]] std::vector<std::string> relaying() const
    {
        std::vector<std::string> names;
        for (const auto& one : this->peers.relaying()) {
            names.push_back(one.identity.name);
        }
        return names;
    }

    static member_identity identity_of(const std::string& name, feature_set features,
                                       const std::string& build, std::uint64_t incarnation)
    {
        return {name, incarnation, "127.0.0.1:1", "127.0.0.1:2", "gent", "flanders", features, build};
    }

    event_loop loop;
    gateway_peers peers{loop.context(),
                        identity_of("own", gateway_features, "0.1.0+new", 1),
                        0,
                        {},
                        [](std::uint64_t, const std::string&) {},
                        [](const table_delta&) {}};
    peer_link from{loop.context(), "127.0.0.1", 0, [](const peer_message&) {}};
    std::uint32_t beats = 0;
};

} // namespace

TEST_CASE("gateway peers: requests are not passed on to a gateway of a build that doesn't take them")
{
    reported_peers fleet;
    fleet.report("older", {});
    CHECK(fleet.relaying().empty());
    fleet.report("newer", gateway_features);
    CHECK(fleet.relaying() == std::vector<std::string>{"newer"});
    SECTION("it starts again and has not sent its new key yet")
    {
        fleet.report("newer", gateway_features, "0.1.0+new", 2, false);
        CHECK(fleet.relaying().empty());
    }
    SECTION("it is rolled back")
    {
        fleet.report("newer", {}, "0.1.0+old", 2);
        CHECK(fleet.relaying().empty());
    }
    SECTION("a later build has further features")
    {
        fleet.report("latest", feature_set::from_bits(~0ULL));
        CHECK(fleet.relaying().size() == 2);
    }
}

TEST_CASE("gateway peers: the absence of a report counts only if all gateways would send one")
{
    reported_peers fleet;
    const auto do_all_report = [&] { return fleet.peers.all_understand(peer_feature::kept_request_reports); };
    CHECK(do_all_report());
    fleet.report("newer", gateway_features);
    CHECK(do_all_report());
    fleet.report("older", {peer_feature::relayed_requests});
    CHECK_FALSE(do_all_report());
}

TEST_CASE("gateway peers: the list and the metrics show the build and features of each gateway")
{
    reported_peers fleet;
    fleet.report("newer", {peer_feature::relayed_requests}, "0.1.0+new");
    fleet.report("older", {}, "");
    const auto text = text_of(fleet.peers.reports());
    CHECK(text.starts_with("GATEWAY\tBUILD\tFEATURES\tSTATE\nown\t0.1.0+new\t"));
    CHECK(text.find("newer\t0.1.0+new\trelayed_requests\tserving\n") != std::string::npos);
    CHECK(text.find("older\tunknown\tnone\tserving\n") != std::string::npos);
    metrics counters;
    count_builds(fleet.peers.reports(), counters);
    CHECK(counters.text().find("coriander_gateways{build=\"unknown\",features=\"none\"} 1\n") !=
          std::string::npos);
    fleet.report("older", gateway_features, "0.1.0+new", 2);
    count_builds(fleet.peers.reports(), counters);
    CHECK(counters.text().find("unknown") == std::string::npos);
}

} // namespace coriander
