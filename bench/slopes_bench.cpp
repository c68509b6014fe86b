// Benchmarks for docs/CAPACITY.md: how the cost of decisions and messages grows with the size of the system.

#include "coriander/build_name.hpp"
#include "coriander/claim.hpp"
#include "coriander/dispatcher.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/membership.hpp"
#include "coriander/placement.hpp"
#include "coriander/relay/target_pool.hpp"
#include "coriander/replica_health.hpp"
#include "peer/peer_message.hpp"
#include "router/completion_format.hpp"

#include <benchmark/benchmark.h>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace coriander {
namespace {

constexpr std::uint32_t hosts_per_replica = 8;

std::vector<route_target> make_targets(std::int64_t count)
{
    std::vector<route_target> list;
    for (std::int64_t i = 0; i < count; ++i) {
        list.push_back({"assistant/" + std::to_string(i), "127.0.0.1:80", 1});
    }
    return list;
}

/// Routes one request from arrival to completion, by the number of replicas available to the router.
void routing_decision(benchmark::State& state)
{
    dispatcher<std::mt19937_64> routes{{}, std::mt19937_64{1}};
    routes.set_targets(make_targets(state.range(0)));
    route_request request;
    request.customer = "gent";
    request.digest = "digest";
    request.prefix = "You answer for the repair desk";
    time_ms now = 1000_s;
    for (auto unused : state) {
        (void)unused;
        ++request.ticket;
        now = now + 1_ms;
        request.deadline = now + 60_s;
        benchmark::DoNotOptimize(routes.submit(request, now));
        routes.on_first_token(request.ticket, now);
        routes.finish(request.ticket, attempt_outcome::succeeded, now);
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(routing_decision)->Arg(1)->Arg(10)->Arg(30)->Arg(100)->Arg(740)->Arg(2000);

std::vector<relay_target> make_relay_targets(std::int64_t count)
{
    std::vector<relay_target> list;
    for (std::int64_t i = 0; i < count; ++i) {
        relay_target target;
        target.id = "domain-" + std::to_string(i);
        target.host = "i-" + std::to_string(i);
        target.address = "10.0.0.1:" + std::to_string(i);
        target.slots = 26;
        list.push_back(target);
    }
    return list;
}

/// Selects a target for a request and checks it before sending, by the number of targets and the percentage
/// of hosts that have stated that they want no requests.
void choice_with_statements(benchmark::State& state)
{
    const auto list = make_relay_targets(state.range(0));
    const time_ms now = 1000_s;
    target_statements statements;
    target_pool pool;
    pool.observe(statements);
    pool.set_targets(list);
    for (std::size_t i = 0; i < list.size() * static_cast<std::size_t>(state.range(1)) / 100; ++i) {
        statements.on_pause(key_of_host(list[i].host, list[i].incarnation, list[i].address), 60_s, 0.5, now);
    }
    pool.apply_statements();
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> noise{0.0, 1.0};
    for (auto unused : state) {
        (void)unused;
        const auto choice = pool.choose({{}, "gent", {}, 69}, noise(random), now);
        benchmark::DoNotOptimize(pool.may_send(choice->target, now));
    }
}
BENCHMARK(choice_with_statements)->ArgsProduct({{10, 100, 740}, {0, 50}})->Unit(benchmark::kMicrosecond);

/// Applies a new statement to all targets.
void statement_applied(benchmark::State& state)
{
    const auto list = make_relay_targets(state.range(0));
    target_statements statements;
    target_pool pool;
    pool.observe(statements);
    pool.set_targets(list);
    time_ms now = 1000_s;
    for (auto unused : state) {
        (void)unused;
        now = now + 1_s;
        statements.on_pause(key_of_host(list[0].host, list[0].incarnation, list[0].address), 60_s, 0.5, now);
        pool.apply_statements();
    }
}
BENCHMARK(statement_applied)->Arg(10)->Arg(100)->Arg(740)->Unit(benchmark::kMicrosecond);

configuration make_config(std::uint32_t replicas)
{
    configuration config;
    profile profile_settings;
    profile_settings.name = "steady";
    profile_settings.model = "model";
    profile_settings.hosts_per_replica = hosts_per_replica;
    config.profiles.push_back(profile_settings);
    config.services.push_back({"assistant", "steady", replicas});
    return config;
}

/// Makes a fleet with 64 hosts per fabric domain and all replicas but one formed.
fleet make_fleet(std::int64_t host_count)
{
    constexpr std::int64_t domain_size = 64;
    fleet view;
    for (std::int64_t i = 0; i < host_count; ++i) {
        fleet_host host;
        auto number = std::to_string(100'000 + i);
        host.record = {
            "host-" + number,  "10.0.0.1:80",   "fabric-" + std::to_string(i / domain_size), "gent", "",
            host_kind::engine, host_state::live};
        host.report = host_report{host.record.id, "1", "", 0, 0, false, 0, 0};
        view.hosts.push_back(host);
    }
    const auto replicas = host_count / hosts_per_replica;
    for (std::int64_t slot = 0; slot + 1 < replicas; ++slot) {
        replica_record replica{"assistant", static_cast<std::uint32_t>(slot), 1, "",
                               "model",     replica_state::serving,           {}};
        for (std::uint32_t i = 0; i < hosts_per_replica; ++i) {
            auto& host = view.hosts[static_cast<std::size_t>(slot * hosts_per_replica + i)];
            replica.fabric_domain = host.record.fabric_domain;
            host.claim = host_claim{host.record.id, replica.id(), 1};
            replica.members.push_back({host.record.id, host.record.address, "1"});
        }
        view.replicas.push_back(std::move(replica));
    }
    return view;
}

/// Plans one shard once, by the number of hosts in the fleet.
void placement_plan(benchmark::State& state)
{
    const auto view = make_fleet(state.range(0));
    const auto config = make_config(static_cast<std::uint32_t>(state.range(0) / hosts_per_replica));
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(plan_shard(config, view, "fabric-0"));
    }
}
BENCHMARK(placement_plan)->Arg(100)->Arg(400)->Arg(1600)->Arg(5900)->Unit(benchmark::kMicrosecond);

/// Decodes all of the fleet's rows into a snapshot, by the number of hosts.
void read_snapshot(benchmark::State& state)
{
    const auto view = make_fleet(state.range(0));
    std::vector<table_row> replicas;
    std::vector<table_row> claims;
    std::vector<host_record> hosts;
    double bytes = 0;
    for (const auto& replica : view.replicas) {
        replicas.push_back({replica_row_key(replica), encode_replica(replica), 1});
        bytes += static_cast<double>(replicas.back().key.size() + replicas.back().value.size());
    }
    for (const auto& host : view.hosts) {
        hosts.push_back(host.record);
        if (host.claim) {
            claims.push_back({host_claim_row_key(host.record.id), encode_host_claim(*host.claim), 1});
            bytes += static_cast<double>(claims.back().key.size() + claims.back().value.size());
        }
    }
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(make_snapshot(hosts, replicas, claims, {}));
    }
    state.counters["row_bytes"] = bytes;
}
BENCHMARK(read_snapshot)->Arg(100)->Arg(400)->Arg(1600)->Arg(5900)->Unit(benchmark::kMillisecond);

/// Evaluates the health of all replicas from their hosts' reports, by the number of replicas.
void judge_replicas(benchmark::State& state)
{
    const auto view = make_fleet(state.range(0) * hosts_per_replica);
    replica_health health{2_s};
    for (const auto& replica : view.replicas) {
        for (const auto& member : replica.members) {
            health.on_report({member.host, "1", replica.id(), 1, 1, true, 0, 0}, 10_s);
        }
    }
    for (auto unused : state) {
        (void)unused;
        std::size_t serving = 0;
        for (const auto& replica : view.replicas) {
            serving += health.check(replica, 10_s).serves() ? 1 : 0;
        }
        benchmark::DoNotOptimize(serving);
    }
}
BENCHMARK(judge_replicas)->Arg(10)->Arg(100)->Arg(740)->Unit(benchmark::kMicrosecond);

member_identity identity_of(std::int64_t number)
{
    const auto name = "entry-" + std::to_string(number);
    return {name,   1,          "10.0.0.1:8080",  "10.0.0.1:8081",
            "gent", "flanders", gateway_features, own_build_name()};
}

/// The messages of one daemon in one second, three sent and three received, by the number of daemons.
void peer_round(benchmark::State& state)
{
    constexpr int messages = 3;
    std::vector<std::unique_ptr<membership>> members;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        members.push_back(std::make_unique<membership>(identity_of(i)));
        for (std::int64_t j = 0; j < state.range(0); ++j) {
            members.back()->add_identity(identity_of(j), 1_s);
        }
    }
    std::mt19937_64 random{1};
    time_ms now = 10_s;
    double bytes = 0;
    std::vector<std::uint8_t> encoded;
    const auto exchange = [&](membership& member) {
        member.advance_heartbeat(1, false, true);
        peer_message message;
        message.identities = member.identities_to_send();
        message.beats = member.heartbeats_to_send(now);
        message.demands.assign(10, {"customer", 1.0F});
        encoded = encode_peer_message(message);
        bytes += static_cast<double>(encoded.size()) * messages;
        for (int i = 0; i < messages; ++i) {
            const auto read = decode_peer_message(encoded);
            auto& other = *members[random() % members.size()];
            for (const auto& identity : read.value().identities) {
                other.add_identity(identity, now);
            }
            for (const auto& beat : read.value().beats) {
                other.merge_heartbeat(beat, now);
            }
        }
    };
    for (int round = 0; round < 20; ++round) {
        for (auto& member : members) {
            exchange(*member);
        }
        now = now + 1_s;
    }
    bytes = 0;
    double rounds = 0;
    for (auto unused : state) {
        (void)unused;
        exchange(*members[random() % members.size()]);
        ++rounds;
        now = now + time_ms{1000 / state.range(0)};
    }
    state.counters["bytes_per_second"] = bytes / rounds;
}
BENCHMARK(peer_round)->Arg(2)->Arg(8)->Arg(40)->Arg(120)->Arg(340)->Unit(benchmark::kMicrosecond);

/// Spreads heartbeats in rounds of one second and measures which share of the daemons is seen alive, by the
/// number of daemons.
void peer_spread(benchmark::State& state)
{
    std::vector<std::unique_ptr<membership>> members;
    const auto count = static_cast<std::size_t>(state.range(0));
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back(std::make_unique<membership>(identity_of(static_cast<std::int64_t>(i))));
        for (std::size_t j = 0; j < count; ++j) {
            members.back()->add_identity(identity_of(static_cast<std::int64_t>(j)), 1_s);
        }
    }
    std::mt19937_64 random{1};
    time_ms now = 10_s;
    double alive = 0;
    double observations = 0;
    for (auto unused : state) {
        (void)unused;
        now = now + 1_s;
        for (auto& member : members) {
            member->advance_heartbeat(1, false, true);
            const auto beats = member->heartbeats_to_send(now);
            for (const auto& target : member->choose_targets(3, now, random)) {
                const auto number = std::stoul(target.name.substr(6));
                for (const auto& beat : beats) {
                    members[number]->merge_heartbeat(beat, now);
                }
            }
        }
        if (now > 30_s) {
            for (std::size_t i = 0; i < count; i += 17) {
                alive += static_cast<double>(members[i]->alive(now).size() + 1) / static_cast<double>(count);
                ++observations;
            }
        }
    }
    state.counters["share_seen_alive"] = alive / observations;
}
BENCHMARK(peer_spread)->Arg(8)->Arg(40)->Arg(120)->Arg(340)->Iterations(60)->Unit(benchmark::kMillisecond);

/// Formats one token of a stream for a caller.
void stream_token_format(benchmark::State& state)
{
    completion_params params;
    params.model = "assistant";
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(token_event(params, "0123456789abcdef0123456789abcdef", "wheel42 "));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(stream_token_format);

/// Encodes and decodes one claim row.
void claim_row(benchmark::State& state)
{
    claim_record record;
    record.state = claim_state::done;
    record.answer.body = std::string(512, 'a');
    double bytes = 0;
    for (auto unused : state) {
        (void)unused;
        const auto text = encode_claim(record);
        bytes = static_cast<double>(text.size());
        benchmark::DoNotOptimize(decode_claim(text));
    }
    state.counters["row_bytes"] = bytes;
}
BENCHMARK(claim_row);

} // namespace
} // namespace coriander

BENCHMARK_MAIN();
