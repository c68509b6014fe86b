#include "coriander/replica_health.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

replica_record two_hosts()
{
    return {"assistant",
            0,
            3,
            "fabric",
            "stroller-7b",
            replica_state::serving,
            {{"a", "a:1", "1"}, {"b", "b:1", "1"}}};
}

host_report good_report(const std::string& host)
{
    return {host, "1", "assistant/0", 3, 1, true, 0, 0};
}

/// One way in which the second host differs from what the row says.
struct health_case {
    const char* name;
    host_report second;
    replica_fault fault;
};

} // namespace

TEST_CASE("replica health: a replica serves when each host says what its row says")
{
    replica_health health{2_s};
    health.on_report(good_report("a"), 10_s);
    CHECK(health.check(two_hosts(), 10_s).fault == replica_fault::host_silent);
    health.on_report(good_report("b"), 10_s);
    CHECK(health.check(two_hosts(), 12_s).serves());
    CHECK(health.check(two_hosts(), 12001_ms).fault == replica_fault::host_silent);
}

TEST_CASE("replica health: a host that differs keeps the replica down and is named")
{
    const auto cases = {
        health_case{"it started anew and holds the same",
                    {"b", "2", "assistant/0", 3, 1, true, 0, 0},
                    replica_fault::wrong_incarnation},
        health_case{"it holds an older forming",
                    {"b", "1", "assistant/0", 2, 1, true, 0, 0},
                    replica_fault::wrong_generation},
        health_case{"it holds another replica",
                    {"b", "1", "assistant/1", 3, 1, true, 0, 0},
                    replica_fault::wrong_generation},
        health_case{"it holds nothing", {"b", "1", "", 0, 1, false, 0, 0}, replica_fault::wrong_generation},
        health_case{"it still loads", {"b", "1", "assistant/0", 3, 1, false, 0, 0}, replica_fault::loading},
    };
    for (const auto& one : cases) {
        DYNAMIC_SECTION(one.name)
        {
            replica_health health{2_s};
            health.on_report(good_report("a"), 10_s);
            health.on_report(one.second, 10_s);
            const auto judged = health.check(two_hosts(), 10_s);
            CHECK(judged.fault == one.fault);
            CHECK(judged.host == "b");
        }
    }
}

TEST_CASE("replica health: an answer to an older question does not replace a newer one")
{
    replica_health health{2_s};
    health.on_report(good_report("a"), 10_s);
    health.on_report({"a", "1", "", 0, 1, false, 0, 0}, 9_s);
    CHECK(health.fresh_report("a", 10_s)->replica == "assistant/0");
}

TEST_CASE("replica health: a refused connection counts at once")
{
    replica_health health{2_s};
    health.on_report(good_report("a"), 10_s);
    health.on_report(good_report("b"), 10_s);
    health.on_host_lost("b");
    CHECK(health.check(two_hosts(), 10_s).fault == replica_fault::host_silent);
}

} // namespace coriander
