#include "coriander/replicas/leave_decision.hpp"

namespace coriander {
namespace {

/// Whether a host that was marked as lost may be sound: it was silent for no longer than a sound host may be,
/// or answers again. A daemon that doesn't own the domain can't find out whether it answers.
bool may_be_sound(const domain_view& view, const replica_host& member)
{
    const auto* host = view.find_host(member.id);
    if (host == nullptr || host->incarnation != member.incarnation) {
        return false;
    }
    if (view.is_unresponsive(member.id, member.incarnation)) {
        return view.silent->at(member.id).may_be_sound(view.now);
    }
    return host->is_self_reported || !view.is_owner;
}

/// Whether the leader may have requests: it accepted them and is not known to have stopped.
bool may_have_requests(const replica_entry& replica, const domain_view& view)
{
    const auto* leader = view.find_host(replica.hosts.front().id);
    return leader == nullptr || (has_part(*leader, replica) && (leader->part->phase == host_phase::open ||
                                                                leader->part->phase == host_phase::closing));
}

} // namespace

bool may_serve_on(const replica_entry& replica, const domain_view& view)
{
    bool has_loss = false;
    for (const auto& member : replica.hosts) {
        if (member.is_lost && !may_be_sound(view, member)) {
            return false;
        }
        has_loss = has_loss || member.is_lost;
    }
    return has_loss && !view.finished->contains(replica.name) && may_have_requests(replica, view);
}

} // namespace coriander
