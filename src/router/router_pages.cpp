#include "router/router.hpp"

#include "core/json_text.hpp"
#include "router/error_reply.hpp"

#include <algorithm>

namespace coriander {

/// Lists the available entry hosts in random order, to spread the callers that use the first one.
void router::send_entry_hosts(http_reply& reply)
{
    std::vector<json_object> hosts;
    const auto add = [&](const member_identity& member) {
        hosts.push_back({{"name", member.name},
                         {"address", member.http_address},
                         {"region", member.region},
                         {"failure_domain", member.failure_domain}});
    };
    if (this->is_ready()) {
        add(this->peers.self());
    }
    for (const auto& member : this->peers.alive()) {
        if (!member.heartbeat.stopping && member.heartbeat.config_number > 0) {
            add(member.identity);
        }
    }
    if (hosts.empty()) {
        reply.send(error_response(
            {503, "no_entry_host", run_state::not_run, "no entry host accepts requests now", 1_s}));
        return;
    }
    auto random = seeded_generator();
    std::shuffle(hosts.begin(), hosts.end(), random);
    reply.send({200,
                "application/json",
                to_text({{"entry_hosts", hosts}, {"ttl_ms", this->values.address_ttl.count()}}),
                {}});
}

void router::send_status(http_reply& reply)
{
    const auto now = this->context.clock.now();
    const auto config = this->configs.current();
    json_object members = json_object::array();
    for (const auto& member : this->peers.alive()) {
        members.push_back({{"name", member.identity.name},
                           {"config_number", member.heartbeat.config_number},
                           {"stopping", member.heartbeat.stopping},
                           {"table_reachable", member.heartbeat.table_reachable},
                           {"heard_ms_ago", (now - member.heard_at).count()}});
    }
    json_object replicas = json_object::array();
    const auto list = this->table.targets();
    this->poller.with_health([&](const replica_health& health) {
        for (const auto& replica : list->replicas) {
            const auto result = health.check(replica, now);
            replicas.push_back({{"replica", replica.id()},
                                {"generation", replica.generation},
                                {"state", name_of(replica.state)},
                                {"serves", result.serves()},
                                {"fault", name_of(result.fault)},
                                {"host", result.host}});
        }
    });
    reply.send({200,
                "application/json",
                to_text({{"name", this->values.name},
                         {"config_number", config->record.number},
                         {"table_reachable", this->table.table_reachable()},
                         {"isolated", this->isolated.load()},
                         {"stopping", this->stopping.load()},
                         {"requests", this->sessions.size()},
                         {"members", members},
                         {"replicas", replicas}}),
                {}});
}

void router::update_gauges()
{
    this->numbers.set("coriander_requests_open", "", static_cast<double>(this->sessions.size()));
    this->numbers.set("coriander_config_number", "",
                      static_cast<double>(this->configs.current()->record.number));
    this->numbers.set("coriander_table_reads", "", static_cast<double>(this->platform.table_reads()));
    this->numbers.set("coriander_table_writes", "", static_cast<double>(this->platform.table_writes()));
    this->numbers.set("coriander_peer_bytes_sent", "", static_cast<double>(this->peers.link().bytes_sent()));
    this->numbers.set("coriander_peer_bytes_received", "",
                      static_cast<double>(this->peers.link().bytes_received()));
    this->numbers.set("coriander_members_alive", "", static_cast<double>(this->peers.alive().size() + 1));
}

} // namespace coriander
