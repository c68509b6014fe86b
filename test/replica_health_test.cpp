#include "coriander/replica_health.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

replica_record two_host_replica()
{
    return {"assistant",
            0,
            3,
            "fabric",
            "stroller-7b",
            replica_state::serving,
            {{"a", "a:1", "1"}, {"b", "b:1", "1"}}};
}

host_report matching_report(const std::string& host)
{
    return {host, "1", "assistant/0", 3, 1, true, 0, 0};
}

/// A way in which the second host's report differs from the row.
struct health_case {
    const char* name;
    host_report second;
    replica_fault fault;
};

} // namespace

TEST_CASE("replica health: a replica serves when the reports of all hosts match its row")
{
    replica_health health{2_s};
    health.on_report(matching_report("a"), 10_s);
    CHECK(health.check(two_host_replica(), 10_s).fault == replica_fault::host_silent);
    health.on_report(matching_report("b"), 10_s);
    CHECK(health.check(two_host_replica(), 12_s).serves());
    CHECK(health.check(two_host_replica(), 12001_ms).fault == replica_fault::host_silent);
}

TEST_CASE("replica health: a replica with a host whose report differs does not serve, and the host is named")
{
    const auto cases = {
        health_case{"it restarted and holds the same replica",
                    {"b", "2", "assistant/0", 3, 1, true, 0, 0},
                    replica_fault::wrong_incarnation},
        health_case{"it holds an older generation",
                    {"b", "1", "assistant/0", 2, 1, true, 0, 0},
                    replica_fault::wrong_generation},
        health_case{"it holds another replica",
                    {"b", "1", "assistant/1", 3, 1, true, 0, 0},
                    replica_fault::wrong_generation},
        health_case{
            "it holds no replica", {"b", "1", "", 0, 1, false, 0, 0}, replica_fault::wrong_generation},
        health_case{
            "it is still loading", {"b", "1", "assistant/0", 3, 1, false, 0, 0}, replica_fault::loading},
    };
    for (const auto& one : cases) {
        DYNAMIC_SECTION(one.name)
        {
            replica_health health{2_s};
            health.on_report(matching_report("a"), 10_s);
            health.on_report(one.second, 10_s);
            const auto result = health.check(two_host_replica(), 10_s);
            CHECK(result.fault == one.fault);
            CHECK(result.host == "b");
        }
    }
}

TEST_CASE("replica health: the response to an earlier request does not replace a later one")
{
    replica_health health{2_s};
    health.on_report(matching_report("a"), 10_s);
    health.on_report({"a", "1", "", 0, 1, false, 0, 0}, 9_s);
    CHECK(health.fresh_report("a", 10_s)->replica == "assistant/0");
}

TEST_CASE("replica health: a refused connection counts immediately")
{
    replica_health health{2_s};
    health.on_report(matching_report("a"), 10_s);
    health.on_report(matching_report("b"), 10_s);
    health.on_host_lost("b");
    CHECK(health.check(two_host_replica(), 10_s).fault == replica_fault::host_silent);
}

} // namespace coriander
