#include "platform_reader.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander::platform {
namespace {

const std::string whole_manifest = R"({
  "version": 7,
  "routes": [
    {"name": "r-1", "hostname": "desk.example", "path_prefix": "/a/", "kind": "streaming", "timeout_ms": 8000,
     "target_latency_ms": 300, "priority": 1, "traffic_split": [{"service": "old", "weight": 90},
     {"service": "new", "weight": 10}], "max_attempts": 2, "no_auth": false, "resumable": true,
     "target_gap_ms": 250},
    {"name": "r-2", "hostname": "desk.example", "path_prefix": "/b/", "kind": "non_idempotent",
     "service": "plain", "max_attempts": 1, "no_auth": true}],
  "services": [
    {"name": "old", "max_conns": 404, "engine": {"slots": 26, "step_ms": 5.95, "per_seq_ms": 0.0445,
     "read_per_s": 50700.0, "stride": 7, "loads_per_s": 4.5, "form_ms": 300.0,
     "usual": {"prompt": 1115, "answer": 178},
     "models": [{"name": "m0", "size": 4, "share": 0.57, "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}]}},
    {"name": "plain", "health_path": "/healthz"}],
  "limits": {"max_header_bytes": 16000, "max_body_bytes": 400, "header_timeout_ms": 3000, "idle_timeout_ms": 9000},
  "tenants": [{"name": "gent", "api_keys": ["k1", "k2"], "priority": 1}]
})";

const std::string whole_entry = R"({"service": "old", "address": "10.0.0.9:8080", "zone": "gent", "slots": 26,
  "state": "ready", "seq": 44, "domain": "gent-d0", "staged": ["m0"], "born": 1784637625720,
  "group": {"name": "g7", "epoch": 12, "rank": 1, "state": "open"}})";

} // namespace

TEST_CASE("platform reader: parses all parts of a manifest")
{
    const auto parsed = parse_manifest(whole_manifest);
    REQUIRE(parsed.manifest);
    CHECK(parsed.faults.empty());
    const auto& manifest = *parsed.manifest;
    CHECK(manifest.version == 7);
    REQUIRE(manifest.routes.size() == 2);
    const auto& stream = manifest.routes[0];
    CHECK(stream.kind == repetition::resumable);
    CHECK(stream.is_stream);
    CHECK(stream.requires_customer_key);
    CHECK(stream.max_attempts == 2);
    CHECK(stream.time_limit == 8_s);
    CHECK(stream.latency_objective == 300_ms);
    CHECK(stream.gap_objective == 250_ms);
    REQUIRE(stream.services.size() == 2);
    CHECK(stream.services[1].weight == 10.0);
    CHECK(manifest.routes[1].kind == repetition::non_idempotent);
    CHECK_FALSE(manifest.routes[1].requires_customer_key);
    const auto& engine = manifest.services.at("old").engine;
    REQUIRE(engine);
    CHECK(engine->slots == 26);
    CHECK(engine->steps_per_event == 7);
    CHECK(engine->forming_time == 300_ms);
    REQUIRE(engine->models.size() == 1);
    CHECK(engine->models[0].hosts_per_replica == 4);
    CHECK(engine->models[0].staged_load_time == 1600_ms);
    CHECK_FALSE(manifest.services.at("plain").engine);
    CHECK(manifest.limits.max_body_bytes == 400);
    CHECK(manifest.limits.idle_timeout == 9_s);
    REQUIRE(manifest.customers.size() == 1);
    CHECK(manifest.customers[0].keys.size() == 2);
}

TEST_CASE("platform reader: a stream that is not resumable may not be retried")
{
    auto text = whole_manifest;
    const std::string flag = R"("resumable": true,)";
    text.erase(text.find(flag), flag.size());
    const auto parsed = parse_manifest(text);
    REQUIRE(parsed.manifest);
    CHECK(parsed.manifest->routes[0].kind == repetition::non_idempotent);
    CHECK(parsed.manifest->routes[0].is_stream);
}

TEST_CASE("platform reader: a faulty route is reported and does not affect the others")
{
    const auto parsed = parse_manifest(
        R"({"version": 3, "routes": [{"name": "bad"}, 7, {"name": "good", "hostname": "h", "path_prefix": "/",
        "service": "s", "kind": "idempotent"}, {"name": "odd", "hostname": "h", "path_prefix": "/o/",
        "service": "s", "kind": "someday"}], "services": "none", "tenants": [1], "later": {"x": 1}})");
    REQUIRE(parsed.manifest);
    REQUIRE(parsed.manifest->routes.size() == 2);
    CHECK(parsed.manifest->routes[0].name == "good");
    CHECK(parsed.manifest->routes[1].kind == repetition::non_idempotent);
    CHECK(parsed.faults.size() == 2);
}

TEST_CASE("platform reader: any text that is not a manifest is reported as a fault")
{
    const auto* const text =
        GENERATE("", "null", "[]", "{}", R"({"version": "7"})", R"({"version": -1})", "\xff\xfe");
    CAPTURE(text);
    const auto parsed = parse_manifest(text);
    CHECK_FALSE(parsed.manifest);
    CHECK_FALSE(parsed.faults.empty());
}

TEST_CASE("platform reader: parses a host's location, incarnation and replica from its entry")
{
    const auto host = parse_host_entry("i-1", whole_entry);
    REQUIRE(host);
    CHECK(host->service == "old");
    CHECK(host->failure_domain == "gent");
    CHECK(host->fabric_domain == "gent-d0");
    CHECK(host->incarnation == 1784637625720);
    CHECK(host->staged == std::vector<std::string>{"m0"});
    REQUIRE(host->part);
    CHECK(host->part->replica == "g7");
    CHECK(host->part->generation == 12);
    CHECK(host->part->phase == host_phase::open);
    CHECK_FALSE(host->is_leaving);
}

TEST_CASE("platform reader: rejects malformed host entries")
{
    const auto* const text =
        GENERATE("", "17", "{}", R"({"service": "s"})", R"({"service": "s", "address": 5, "state": "ready"})",
                 R"({"service": "s", "address": "a:1", "state": "dancing"})",
                 R"({"service": ["s"], "address": "a:1", "state": "ready"})",
                 R"({"service": "s", "address": "a:1", "state": "ready", "slots": "many"})",
                 R"({"service": "s", "address": "a:1", "state": "ready", "born": "yesterday"})", "\x80\x81");
    CAPTURE(text);
    CHECK_FALSE(parse_host_entry("i-1", text));
}

TEST_CASE("platform reader: a report may lack a replica, other texts are not reports")
{
    const auto status =
        parse_host_status(R"({"seq": 2, "born": 5, "num_running": 3, "waiting": 1, "group": null})");
    REQUIRE(status);
    CHECK_FALSE(status->part);
    CHECK(status->running == 3);
    CHECK(status->orders_applied == 2);
    CHECK_FALSE(parse_host_status("{}"));
    CHECK_FALSE(parse_host_status("busy"));
}

TEST_CASE("platform reader: parsers accept arbitrary bytes without failing")
{
    rc::prop("random texts", [](const std::string& text) {
        (void)parse_manifest(text);
        (void)parse_host_entry("i", text);
        (void)parse_host_status(text);
    });
}

TEST_CASE("platform reader: the cold time of a host and the rate that it bears meanwhile")
{
    const auto entry_with = [](const std::string& cold) {
        return parse_host_entry("i-1", R"({"service": "old", "address": "10.0.0.9:8080", "zone": "gent",
            "state": "ready", "born": 7, "cold_remaining_ms": )" +
                                           cold + "}");
    };
    CHECK(entry_with("2400")->cold_left == 2400_ms);
    CHECK(entry_with("-5")->cold_left == 0_ms);
    CHECK(entry_with("\"soon\"")->cold_left == 0_ms);
    CHECK(entry_with("1e300")->cold_left == 600_s);
    const auto parsed = parse_manifest(R"({"version": 1, "services": [
        {"name": "old", "cold_s": 3.0, "cold_per_s": 17.0}, {"name": "plain", "cold_per_s": -1}]})");
    REQUIRE(parsed.manifest);
    CHECK(parsed.manifest->services.at("old").cold_rate == 17.0);
    CHECK(parsed.manifest->services.at("plain").cold_rate == 0.0);
}

} // namespace coriander::platform
