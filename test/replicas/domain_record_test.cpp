#include "coriander/replicas/domain_record.hpp"

#include "core/json_text.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>

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

TEST_CASE("domain record: what a newer build wrote into a row is not lost when this build writes it back")
{
    rc::prop("unknown members", [](const std::map<std::string, int>& unknown) {
        const auto add_to = [&](json_object& object) {
            for (const auto& [name, value] : unknown) {
                object["later-" + name] = value;
                object["nested"] = {{"list", {value, "x"}}};
            }
        };
        auto record = domain_record{"edge-1", 12, {}, {{"d-h9", "small"}}, 3, 1};
        auto hosts = samples::free_hosts_of("d", 3);
        record.replicas.push_back(samples::replica_of(hosts, "d-12", 12, replica_phase::open));
        auto row = *parse_object(encode_domain(record));
        add_to(row);
        add_to(row["replicas"][0]);
        add_to(row["replicas"][0]["hosts"][1]);
        add_to(row["loads"][0]);
        const auto text = to_text(row);
        auto read = decode_domain(text);
        RC_ASSERT(read.has_value());
        const bool is_same = *parse_object(encode_domain(*read)) == *parse_object(text);
        RC_ASSERT(is_same); // The library can't print JSON values.
        read->owner = "edge-2";
        read->replicas[0].hosts[1].is_lost = true;
        row["owner"] = "edge-2";
        row["replicas"][0]["hosts"][1]["lost"] = true;
        const bool is_same_after_change = *parse_object(encode_domain(*read)) == *parse_object(to_text(row));
        RC_ASSERT(is_same_after_change);
    });
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
