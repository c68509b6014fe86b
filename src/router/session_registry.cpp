#include "router/session_registry.hpp"

namespace coriander {

ticket_id session_registry::add(std::shared_ptr<request_session> session)
{
    const std::scoped_lock lock{this->mutex};
    const auto ticket = ++this->last_ticket;
    this->sessions.emplace(ticket, std::move(session));
    return ticket;
}

void session_registry::remove(ticket_id ticket)
{
    std::shared_ptr<request_session> last; // Destroyed after the lock is released.
    const std::scoped_lock lock{this->mutex};
    const auto found = this->sessions.find(ticket);
    if (found != this->sessions.end()) {
        last = std::move(found->second);
        this->sessions.erase(found);
    }
}

std::shared_ptr<request_session> session_registry::find(ticket_id ticket) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->sessions.find(ticket);
    return found == this->sessions.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<request_session>> session_registry::all() const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::shared_ptr<request_session>> list;
    list.reserve(this->sessions.size());
    for (const auto& [ticket, session] : this->sessions) {
        list.push_back(session);
    }
    return list;
}

std::size_t session_registry::size() const
{
    const std::scoped_lock lock{this->mutex};
    return this->sessions.size();
}

} // namespace coriander
