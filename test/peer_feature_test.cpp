#include "coriander/peer_feature.hpp"

#include "coriander/build_name.hpp"
#include "coriander/membership.hpp"
#include "peer/generated/peer_generated.h"
#include "peer/peer_message.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

constexpr auto known = peer_feature::relayed_requests;

member_identity identity_of(const std::string& name, std::uint64_t incarnation, feature_set features,
                            const std::string& build)
{
    return {name, incarnation, name + ":80", name + ":81", "gent", "flanders", features, build};
}

member_identity sent_and_received(const member_identity& identity)
{
    peer_message message;
    message.identities = {identity};
    const auto read = decode_peer_message(encode_peer_message(message));
    REQUIRE(read);
    return read.value().identities.front();
}

/// The member "peer" as `member` sees it once its heartbeat has arrived.
member_view view_after_beat(membership& member, std::uint64_t incarnation)
{
    member.merge_heartbeat({member_id("peer"), incarnation, 1, 0, false, true}, 100_s);
    const auto alive = member.alive(100_s);
    REQUIRE(alive.size() == 1);
    return alive.front();
}

} // namespace

TEST_CASE("peer feature: a set keeps features that this build doesn't know")
{
    rc::prop("bits of a set", [](std::uint64_t bits) {
        const auto set = feature_set::from_bits(bits);
        RC_ASSERT(set.bits() == bits);
        feature_set copy;
        for (std::uint64_t number = 0; number < feature_set::capacity; ++number) {
            if (set.contains_number(number)) {
                copy.add_number(number);
            }
        }
        RC_ASSERT(copy == set);
    });
    feature_set set;
    set.add_number(feature_set::capacity);
    CHECK(set == feature_set{});
}

TEST_CASE("peer feature: names are joined, and unknown features are named by number")
{
    CHECK(names_of({}) == "none");
    CHECK(names_of({known}) == "relayed_requests");
    CHECK(names_of(feature_set::from_bits(3 | (1ULL << 63U))) == "relayed_requests+kept_request_reports+63");
}

TEST_CASE("peer feature: an identity keeps its features and build in a message")
{
    rc::prop("any features", [](std::uint64_t bits) {
        const auto set = feature_set::from_bits(bits);
        const auto read = sent_and_received(identity_of("peer", 5, set, "0.1.0+8e287f1"));
        RC_ASSERT(read.features == set);
        RC_ASSERT(read.build == "0.1.0+8e287f1");
    });
}

TEST_CASE("peer feature: an identity of a build without feature sets understands none")
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<flatbuffers::Offset<wire::Identity>> identities{
        wire::CreateIdentityDirect(builder, "peer", 5, "peer:80", "peer:81", "gent", "flanders")};
    builder.Finish(wire::CreatePeerMessageDirect(builder, &identities));
    const auto read = decode_peer_message({builder.GetBufferPointer(), builder.GetSize()});
    REQUIRE(read);
    const auto& identity = read.value().identities.front();
    CHECK(identity.features == feature_set{});
    CHECK(identity.build.empty());
    membership member{identity_of("own", 1, {}, "")};
    member.add_identity(identity, 100_s);
    CHECK_FALSE(view_after_beat(member, 5).understands(known));
}

TEST_CASE("peer feature: features are not lost when a daemon of an older build forwards an identity")
{
    membership member{identity_of("own", 1, {}, "")};
    member.add_identity(identity_of("peer", 5, {known}, "0.1.0+new"), 100_s);
    member.add_identity(identity_of("peer", 5, {}, ""), 100_s);
    const auto view = view_after_beat(member, 5);
    CHECK(view.understands(known));
    CHECK(view.identity.build == "0.1.0+new");
}

TEST_CASE("peer feature: a daemon that was rolled back understands only what its older build reports")
{
    membership member{identity_of("own", 1, {}, "")};
    member.add_identity(identity_of("peer", 5, {known}, "0.1.0+new"), 100_s);
    SECTION("its identity has arrived")
    {
        member.add_identity(identity_of("peer", 6, {}, ""), 100_s);
        CHECK_FALSE(view_after_beat(member, 6).understands(known));
    }
    SECTION("only its heartbeat has arrived, through another daemon")
    {
        CHECK_FALSE(view_after_beat(member, 6).understands(known));
    }
}

TEST_CASE("peer feature: identities are forwarded with their features, without their build")
{
    membership member{identity_of("own", 1, {known}, "0.1.0+own")};
    const auto unknown = feature_set::from_bits(1ULL << 40U);
    member.add_identity(identity_of("peer", 5, unknown, "0.1.0+new"), 100_s);
    const auto sent = member.identities_to_send();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].build == "0.1.0+own");
    CHECK(sent[0].features == feature_set{known});
    CHECK(sent[1].build.empty());
    CHECK(sent[1].features == unknown);
}

TEST_CASE("build name: a reported name is shortened and stays free of quotes and spaces")
{
    CHECK(checked_build_name("0.1.0+8e287f1-dirty") == "0.1.0+8e287f1-dirty");
    CHECK(checked_build_name("a\"b c\n{}=d") == "abcd");
    CHECK(checked_build_name(std::string(1000, 'a')).size() == max_build_name_length);
    CHECK(own_build_name().starts_with(CORIANDER_VERSION));
    CHECK(checked_build_name(own_build_name()) == own_build_name());
}

} // namespace coriander
