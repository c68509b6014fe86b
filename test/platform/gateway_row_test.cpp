#include "gateway_row.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander::platform {

TEST_CASE("gateway row: a decoded row has the values that were encoded, also features unknown here")
{
    rc::prop("any features", [](std::uint64_t bits) {
        const auto features = feature_set::from_bits(bits);
        const member_identity identity{"gw",   7,          "10.0.0.1:80", "10.0.0.1:81",
                                       "gent", "flanders", features,      "0.1.0+8e287f1"};
        const auto read = decode_gateway_row("gw", encode_gateway_row(identity));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->name == "gw");
        RC_ASSERT(read->incarnation == 7U);
        RC_ASSERT(read->peer_address == "10.0.0.1:81");
        RC_ASSERT(read->features == features);
        RC_ASSERT(read->build == "0.1.0+8e287f1");
    });
}

TEST_CASE("gateway row: a row of a build without feature sets is read, and understands none")
{
    const auto read = decode_gateway_row(
        "gw", R"({"incarnation":7,"callers":"a:80","peers":"a:81","failure_domain":"gent","region":"f"})");
    REQUIRE(read);
    CHECK(read->http_address == "a:80");
    CHECK(read->features == feature_set{});
    CHECK(read->build.empty());
}

TEST_CASE("gateway row: odd features are left out, and members unknown here do no harm")
{
    const auto read = decode_gateway_row(
        "gw", R"({"incarnation":7,"features":[0,"x",-1,64,2.5,40,99999999999],"build":5,"later":{"a":[1]}})");
    REQUIRE(read);
    CHECK(read->features == feature_set::from_bits(1ULL | (1ULL << 40U)));
    CHECK(read->build.empty());
    CHECK(decode_gateway_row("gw", R"({"features":"all"})")->features == feature_set{});
    CHECK_FALSE(decode_gateway_row("gw", "[]"));
}

} // namespace coriander::platform
