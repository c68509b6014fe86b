#pragma once

#include "coriander/replica_health.hpp"
#include "http/http_client.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// A host to poll.
struct polled_host {
    std::string host;
    std::string address;
};

/// Polls hosts for their reports and keeps the latest one of each. Thread-safe.
class host_poller {
public:
    using report_callback = std::function<void(const host_report&, time_ms sent_at)>;

    /// A report becomes stale after `report_lifetime`. `notify` is called on the client's thread for each
    /// report; its `sent_at` is when the request was sent.
    host_poller(http_client& client, time_ms report_lifetime, report_callback notify = {});

    /// Sends a request with the given timeout to each host that has none in flight. Does not block.
    void poll(const std::vector<polled_host>& hosts, time_ms timeout);

    /// Calls `use` with the reports while holding the poller's lock; `use` must not call the poller.
    template <typename Use>
    auto with_health(Use use)
    {
        const std::scoped_lock lock{this->shared->mutex};
        return use(static_cast<const replica_health&>(this->shared->health));
    }

private:
    /// Shared with the callbacks of requests in flight, which may outlive the poller.
    struct state {
        explicit state(time_ms report_lifetime) : health{report_lifetime} {}
        std::mutex mutex; ///< Guards the members below. No other lock is taken while it is held.
        replica_health health;
        std::set<std::string> in_flight; ///< Hosts with a request in flight.
    };

    http_client& client;
    report_callback notify;
    std::shared_ptr<state> shared;
};

} // namespace coriander
