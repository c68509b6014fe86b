#include "gateway/gateway_settings.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

const std::string valid_settings = R"([entry_host]
name = "edge-1"
failure_domain = "gent"
ip = "10.1.0.40"
callers = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
peer_port = 7340
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
first_start = true

[platform]
store = "10.200.1.7:8223"
host_heartbeat = "900ms"

[stop]
limit = "8s"

[directory]
ttl = "2s"

[retries]
ratio = 0.2
allowance = 132
window = "10s"
)";

} // namespace

TEST_CASE("gateway settings: valid settings are read as written")
{
    const auto result = parse_gateway_settings(valid_settings, "gateway.toml");
    CHECK(findings_text(result.faults).empty());
    CHECK(result.values.name == "edge-1");
    CHECK(result.values.host_heartbeat == 900_ms);
    CHECK(result.values.callers_address == "10.1.0.40:8227");
    CHECK(result.values.seeds.size() == 2);
    CHECK(result.values.is_first_start);
    CHECK(result.values.stop_limit == 8_s);
    CHECK(result.values.retries.allowance == 132.0);
    CHECK(result.values.retries.window == 10_s);
}

TEST_CASE("gateway settings: all faults are reported together, with their positions")
{
    const auto result = parse_gateway_settings("[entry_host]\nname = 5\nip = \"x\"\ncallers = \"here\"\n"
                                               "[platform]\nstor = \"a\"\n[stop]\nlimit = \"soon\"\n",
                                               "gateway.toml");
    const auto text = findings_text(result.faults);
    CAPTURE(text);
    for (const auto* part : {"'callers'", "'name'", "'failure_domain'", "'readiness'", "'stor'", "'store'",
                             "'limit'", "[directory]", "[retries]", "gateway.toml:4"}) {
        CAPTURE(part);
        CHECK(text.find(part) != std::string::npos);
    }
}

TEST_CASE("gateway settings: bounds of callers follow from the entry host, or are set")
{
    gateway_settings settings;
    const auto smallest = bounds_of(settings);
    settings.memory_mb = 160;
    settings.max_open_files = 4096;
    CHECK(bounds_of(settings).callers.bytes == smallest.callers.bytes);
    CHECK(bounds_of(settings).callers.connections == smallest.callers.connections);
    CHECK(smallest.callers.bytes == std::size_t{40} << 20U);
    settings.memory_mb = 512;
    settings.max_open_files = 8192;
    const auto large = bounds_of(settings);
    CHECK(large.callers.bytes > smallest.callers.bytes);
    const auto sockets = large.callers.connections + large.pages.connections + large.peers.connections;
    CHECK(sockets < settings.max_open_files);
    const auto set = parse_gateway_settings(valid_settings + "[callers]\nmemory_mb = 24\nconnections = 300\n",
                                            "gateway.toml");
    CHECK(findings_text(set.faults).empty());
    CHECK(bounds_of(set.values).callers.bytes == std::size_t{24} << 20U);
    CHECK(bounds_of(set.values).callers.connections == 300);
}

} // namespace coriander
