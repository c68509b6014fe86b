#include "coriander/fleet.hpp"

#include <algorithm>

namespace coriander {

namespace {

template <typename Hosts>
auto find_by_id(Hosts& hosts, const std::string& id) -> decltype(hosts.data())
{
    const auto found =
        std::lower_bound(hosts.begin(), hosts.end(), id,
                         [](const auto& host, const auto& key) { return host.record.id < key; });
    return found != hosts.end() && found->record.id == id ? &*found : nullptr;
}

} // namespace

const fleet_host* fleet::find_host(const std::string& id) const
{
    return find_by_id(this->hosts, id);
}

fleet_host* fleet::find_host(const std::string& id)
{
    return find_by_id(this->hosts, id);
}

const replica_record* fleet::find_replica(const std::string& id) const
{
    const auto found = std::find_if(this->replicas.begin(), this->replicas.end(),
                                    [&](const auto& replica) { return replica.id() == id; });
    return found != this->replicas.end() ? &*found : nullptr;
}

} // namespace coriander
