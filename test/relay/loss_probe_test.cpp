#include "coriander/relay/loss_probe.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// Ends the open round with answers from all probed hosts except `silent`. Returns the result.
loss_probe_result end_round(loss_probe& probe, const std::vector<std::string>& silent,
                            bool has_progressed = false)
{
    const auto hosts = probe.unanswered_hosts();
    bool has_ended = false;
    for (const auto& host : hosts) {
        CHECK_FALSE(has_ended);
        const bool is_silent = std::find(silent.begin(), silent.end(), host) != silent.end();
        has_ended = probe.on_ended(host, !is_silent);
    }
    REQUIRE(has_ended);
    return probe.conclude(has_progressed);
}

} // namespace

TEST_CASE("loss probe: no host is lost if all answer")
{
    loss_probe probe{{"a", "b"}, 3};
    CHECK(end_round(probe, {}) == loss_probe_result::all_answered);
}

TEST_CASE("loss probe: only a host that does not answer in any round is lost")
{
    loss_probe probe{{"a", "b", "c"}, 3};
    CHECK(end_round(probe, {"a", "b"}) == loss_probe_result::probe_again);
    CHECK(probe.unanswered_hosts() == std::vector<std::string>{"a", "b"});
    CHECK(end_round(probe, {"b"}) == loss_probe_result::probe_again);
    CHECK(end_round(probe, {"b"}) == loss_probe_result::lost);
    CHECK(probe.unanswered_hosts() == std::vector<std::string>{"b"});
}

TEST_CASE("loss probe: a late answer in a later round clears the host")
{
    loss_probe probe{{"a", "b"}, 3};
    CHECK(end_round(probe, {"b"}) == loss_probe_result::probe_again);
    CHECK(end_round(probe, {}) == loss_probe_result::all_answered);
}

TEST_CASE("loss probe: no host is lost if the replica sends events again, even if some do not answer")
{
    loss_probe probe{{"a", "b"}, 3};
    CHECK(end_round(probe, {"a"}) == loss_probe_result::probe_again);
    CHECK(end_round(probe, {"a"}, true) == loss_probe_result::progressing);
}

} // namespace coriander
