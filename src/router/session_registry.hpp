#pragma once

#include "coriander/route_request.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace coriander {

class request_session;

/// The sessions of requests that have not ended. Thread-safe.
class session_registry {
public:
    /// Adds a session and keeps it alive. Returns its ticket.
    ticket_id add(std::shared_ptr<request_session> session);

    /// Removes a session; does nothing if it is not registered.
    void remove(ticket_id ticket);

    /// Null when the session has ended.
    [[nodiscard]] std::shared_ptr<request_session> find(ticket_id ticket) const;

    [[nodiscard]] std::vector<std::shared_ptr<request_session>> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex; ///< Guards the members below; a leaf lock.
    std::map<ticket_id, std::shared_ptr<request_session>> sessions;
    ticket_id last_ticket = 0;
};

} // namespace coriander
