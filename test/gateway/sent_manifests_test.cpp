#include "gateway/sent_manifests.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr time_ms round_length = 400_ms;

int times_sent(sent_manifests& sent, std::uint64_t version, time_ms from, time_ms length)
{
    int count = 0;
    for (auto at = from; at < from + length; at = at + round_length) {
        count += sent.mark_sent_if_due("peer", version, at) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("sent manifests: an outdated peer doesn't get the manifest in every round")
{
    sent_manifests sent;
    CHECK(times_sent(sent, 7, start, 4_s) == 2);
}

TEST_CASE("sent manifests: the manifest is resent for as long as a peer is outdated")
{
    sent_manifests sent;
    CHECK(times_sent(sent, 7, start, 60_s) == 30);
}

TEST_CASE("sent manifests: a new version is sent immediately, as is any version to another peer")
{
    sent_manifests sent;
    CHECK(sent.mark_sent_if_due("peer", 7, start));
    CHECK(sent.mark_sent_if_due("peer", 8, start));
    CHECK_FALSE(sent.mark_sent_if_due("peer", 8, start));
    CHECK(sent.mark_sent_if_due("other", 8, start));
}

} // namespace coriander
