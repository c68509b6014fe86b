#include "coriander/replicas/domain_planner.hpp"

#include <algorithm>

namespace coriander {

const listed_host* domain_view::find_host(std::string_view id) const
{
    // Hosts are usually ordered by id.
    auto found =
        std::lower_bound(this->hosts.begin(), this->hosts.end(), id,
                         [](const listed_host& host, std::string_view key) { return host.id < key; });
    if (found == this->hosts.end() || found->id != id) {
        found = std::find_if(this->hosts.begin(), this->hosts.end(),
                             [&](const listed_host& host) { return host.id == id; });
    }
    return found == this->hosts.end() ? nullptr : &*found;
}

bool domain_view::is_unresponsive(const std::string& id, std::uint64_t incarnation) const
{
    const auto found = this->silent->find(id);
    return found != this->silent->end() && found->second.incarnation == incarnation;
}

bool domain_view::is_awaited(const replica_entry& replica, const replica_host& member) const
{
    return this->held != nullptr && this->held->contains(replica.name) &&
           this->is_unresponsive(member.id, member.incarnation) &&
           this->silent->at(member.id).may_be_sound(this->now);
}

} // namespace coriander
