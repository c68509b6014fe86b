#include "coriander/replicas/domain_record.hpp"

#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("domain record: encoding and decoding preserve the record")
{
    auto hosts = samples::free_hosts_of("d", 4);
    domain_record record{
        "edge-1", 12, {samples::replica_of(hosts, "d-12", 12, replica_phase::retiring)}, {{"d-h9", "small"}}};
    record.replicas[0].hosts[2].is_lost = true;
    const auto read = decode_domain(encode_domain(record));
    REQUIRE(read);
    CHECK(read->owner == "edge-1");
    CHECK(read->last_generation == 12);
    REQUIRE(read->loads.size() == 1);
    CHECK(read->loads[0].host == "d-h9");
    CHECK(read->loads[0].model == "small");
    REQUIRE(read->replicas.size() == 1);
    const auto& replica = read->replicas[0];
    CHECK(replica.name == "d-12");
    CHECK(replica.model == "large");
    CHECK(replica.generation == 12);
    CHECK(replica.phase == replica_phase::retiring);
    REQUIRE(replica.hosts.size() == 4);
    CHECK(replica.hosts[1].id == "d-h1");
    CHECK(replica.hosts[1].incarnation == 101);
    CHECK(replica.hosts[2].is_lost);
    CHECK_FALSE(replica.hosts[3].is_lost);
}

TEST_CASE("domain record: a malformed row is rejected")
{
    const auto* const text = GENERATE("", "null", "[]", "{}", R"({"replicas":[{"name":"a"}]})",
                                      R"({"replicas":[{"name":"a","phase":"flying","hosts":[{"id":"h"}]}]})",
                                      R"({"replicas":[{"name":"a","phase":"open","hosts":[]}]})");
    CAPTURE(text);
    CHECK_FALSE(decode_domain(text));
}

} // namespace coriander
