#include "coriander/replicas/domain_record.hpp"
#include "net/channel_pool.hpp"
#include "platform_reader.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander::platform {
namespace {

/// A row holds at most 64 KiB, a report or a peer's answer several MiB.
constexpr std::size_t depth = 400000;

} // namespace

TEST_CASE("odd entries: a deeply nested entry, report, manifest or record is rejected")
{
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto before = GENERATE(
        as<std::string>{}, R"({"service":"s","address":"10.0.0.1:80","state":"ready","seq":1,"staged":)",
        R"({"service":"s","address":"10.0.0.1:80","state":"ready","seq":1,"group":)",
        R"({"version":1,"routes":)", R"({"version":1,"services":)", R"({"version":1,"limits":)",
        R"({"replicas":)");
    CAPTURE(before);
    const auto text = before + nested + "}";
    CHECK_FALSE(parse_host_entry("i-1", text));
    CHECK_FALSE(parse_host_status(text));
    CHECK_FALSE(parse_manifest(text).manifest);
    CHECK_FALSE(decode_domain(text));
}

TEST_CASE("odd entries: a host with a number, a port or an id out of range is not used")
{
    const std::string rest = R"("service": "s", "state": "ready", )";
    const std::string address = R"("address": "10.0.0.1:80", )";
    const auto more = GENERATE_COPY(
        address + R"("slots": 4294967296)", address + R"("slots": 18446744073709551615)",
        address + R"("slots": -1)", address + R"("slots": 1e300)",
        address + R"("born": 18446744073709551615)", address + R"("born": 1e15)", address + R"("born": -1)",
        address + R"("group": {"name": "g", "state": "open", "epoch": 18446744073709551615})",
        address + R"("group": {"name": "g", "state": "open", "epoch": -1})",
        address + R"("group": {"name": "g", "state": "open", "epoch": 1e300})",
        std::string(R"("address": "10.0.0.1:0")"), std::string(R"("address": "10.0.0.1:65536")"),
        std::string(R"("address": "10.0.0.1:-1")"), std::string(R"("address": "10.0.0.1:1e9")"),
        std::string(R"("address": "10.0.0.1:80\r\nX: y")"), std::string(R"("address": "10.0.0.1")"),
        std::string(R"("address": "10.0.0.1:80 ")"), address + R"("zone": "a\nb")",
        address + R"("domain": ")" + std::string(300, 'd') + '"');
    CAPTURE(more);
    CHECK_FALSE(parse_host_entry("i-1", "{" + rest + more + "}"));
}

TEST_CASE("odd entries: a host whose id can't be written into a header is not used")
{
    const auto id = GENERATE(as<std::string>{}, "", "i\r\nX: y", "i 1", "i\t", "\x7f", "caf\xc3\xa9",
                             std::string(300, 'i'), std::string("i\0j", 3));
    CAPTURE(id);
    const std::string text = R"({"service": "s", "state": "ready", "address": "10.0.0.1:80"})";
    CHECK(parse_host_entry("i-1", text));
    CHECK_FALSE(parse_host_entry(id, text));
}

TEST_CASE("odd entries: a report or record with a number out of range is rejected")
{
    const auto* const number = GENERATE("18446744073709551615", "-1", "1e300", "9007199254740993", "\"7\"");
    CAPTURE(number);
    const auto with = [&](const std::string& before, const std::string& after) {
        return before + number + after;
    };
    CHECK_FALSE(parse_host_status(with(R"({"seq": )", "}")));
    CHECK_FALSE(parse_host_status(with(R"({"seq": 1, "born": )", "}")));
    CHECK_FALSE(
        parse_host_status(with(R"({"seq": 1, "group": {"name": "g", "state": "open", "epoch": )", "}}")));
    CHECK_FALSE(decode_domain(with(R"({"replicas": [], "last_generation": )", "}")));
    const std::string replica = R"({"replicas": [{"name": "r", "phase": "open", )";
    CHECK_FALSE(decode_domain(with(replica + R"("hosts": [{"id": "h"}], "generation": )", "}]}")));
    CHECK_FALSE(decode_domain(with(replica + R"("hosts": [{"id": "h", "incarnation": )", "}]}]}")));
}

TEST_CASE("odd entries: counts and times of a report or manifest are bounded rather than wrapped")
{
    const auto status = parse_host_status(R"({"seq": 1, "num_running": 4294967296, "waiting": -5})");
    REQUIRE(status);
    CHECK(status->running >= 1000000);
    CHECK(status->waiting == 0);
    const auto manifest =
        parse_manifest(R"({"version": 1, "routes": [{"name": "r", "hostname": "h", "path_prefix": "/",
        "kind": "idempotent", "service": "s", "timeout_ms": 1e300, "target_latency_ms": -1e300,
        "max_attempts": 4294967296}], "services": [{"name": "s", "max_conns": 18446744073709551615,
        "engine": {"slots": 4294967296, "models": [{"name": "m", "size": 4294967297, "load_s": 1e300}]}}]})")
            .manifest;
    REQUIRE(manifest);
    CHECK(manifest->routes[0].time_limit > 1000_s);
    CHECK(manifest->routes[0].latency_objective <= 0_ms);
    CHECK(manifest->routes[0].max_attempts >= 1000000);
    const auto& service = manifest->services.at("s");
    CHECK(service.max_connections >= 1000000);
    CHECK(service.engine->slots >= 1000000);
    CHECK(service.engine->models[0].hosts_per_replica >= 1000000);
    CHECK(service.engine->models[0].load_time > 1000_s);
}

TEST_CASE("odd entries: a mutated entry is rejected, or describes a host that can be used")
{
    const std::string whole = R"({"service": "old", "address": "10.0.0.9:8080", "zone": "gent", "slots": 26,
  "state": "ready", "seq": 44, "domain": "gent-d0", "staged": ["m0"], "born": 1784637625720, "last_generation": 3,
  "version": 3, "num_running": 2, "replicas": [{"name": "r", "phase": "open", "generation": 3,
  "hosts": [{"id": "h", "incarnation": 5}]}], "group": {"name": "g7", "epoch": 12, "rank": 1, "state": "open"}})";
    rc::prop("replaced pieces", [&] {
        auto text = whole;
        const auto changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto count = *rc::gen::inRange<std::size_t>(0, 6);
            const auto piece =
                *rc::gen::element<std::string>("", "0", "-", "9999999999999999999", "1e300", "-1e300", "[",
                                               "{", "\"", "null", "\xff", "\\u0000", "\\r\\n", "\\ud800",
                                               "65536", ":", ",\"slots\":0", ",\"born\":-1", ",\"group\":[]");
            text.replace(at, count, piece);
        }
        (void)parse_manifest(text);
        (void)parse_host_status(text);
        (void)decode_domain(text);
        if (const auto host = parse_host_entry("i", text)) {
            RC_ASSERT(parse_endpoint(host->address).port() != 0);
            RC_ASSERT(host->slots >= 1U);
            RC_ASSERT(host->slots <= 1000000U);
            RC_ASSERT(host->service.find_first_of("\r\n") == std::string::npos);
        }
    });
}

} // namespace coriander::platform
