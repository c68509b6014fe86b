#include "coriander/relay/loss_probe.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Ends the open round with answers of all asked hosts but `silent`. Returns the verdict.
loss_probe_result end_round(loss_probe& inquiry, const std::vector<std::string>& silent,
                          bool has_moved = false)
{
    const auto asked = inquiry.unanswered_hosts();
    bool has_ended = false;
    for (const auto& host : asked) {
        CHECK_FALSE(has_ended);
        const bool is_silent = std::find(silent.begin(), silent.end(), host) != silent.end();
        has_ended = inquiry.on_ended(host, !is_silent);
    }
    REQUIRE(has_ended);
    return inquiry.conclude(has_moved);
}

} // namespace

TEST_CASE("loss inquiry: a replica whose hosts all answer has lost none")
{
    loss_probe inquiry{{"a", "b"}, 3};
    CHECK(end_round(inquiry, {}) == loss_probe_result::all_answered);
}

TEST_CASE("loss inquiry: a host that stays silent in all rounds is lost, the others are not")
{
    loss_probe inquiry{{"a", "b", "c"}, 3};
    CHECK(end_round(inquiry, {"a", "b"}) == loss_probe_result::probe_again);
    CHECK(inquiry.unanswered_hosts() == std::vector<std::string>{"a", "b"});
    CHECK(end_round(inquiry, {"b"}) == loss_probe_result::probe_again);
    CHECK(end_round(inquiry, {"b"}) == loss_probe_result::lost);
    CHECK(inquiry.unanswered_hosts() == std::vector<std::string>{"b"});
}

TEST_CASE("loss inquiry: a late answer in a later round clears the host")
{
    loss_probe inquiry{{"a", "b"}, 3};
    CHECK(end_round(inquiry, {"b"}) == loss_probe_result::probe_again);
    CHECK(end_round(inquiry, {}) == loss_probe_result::all_answered);
}

TEST_CASE("loss inquiry: a replica that sends events again has lost no host, whoever is silent")
{
    loss_probe inquiry{{"a", "b"}, 3};
    CHECK(end_round(inquiry, {"a"}) == loss_probe_result::probe_again);
    CHECK(end_round(inquiry, {"a"}, true) == loss_probe_result::progressing);
}

} // namespace coriander
