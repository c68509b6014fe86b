#include "controller/shard_manager.hpp"

#include "core/json_text.hpp"

namespace coriander {

engine_order load_order(const fleet_host& host, const replica_record& replica, std::uint64_t fence)
{
    json_object others = json_object::array();
    for (const auto& member : replica.members) {
        if (member.host != host.record.id) {
            others.push_back(member.address);
        }
    }
    auto body = to_text({{"order", "load"},
                         {"replica", replica.id()},
                         {"generation", replica.generation},
                         {"model", replica.model},
                         {"leader", replica.members.front().host == host.record.id},
                         {"other_members", others},
                         {"fence", fence}});
    return {host.record.id, host.record.address, std::move(body), "load " + replica.id()};
}

engine_order unload_order(const fleet_host& host, std::uint64_t fence)
{
    auto body = to_text({{"order", "unload"}, {"replica", host.report->replica}, {"fence", fence}});
    return {host.record.id, host.record.address, std::move(body), "unload " + host.report->replica};
}

} // namespace coriander
