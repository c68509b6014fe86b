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

/// A host to be asked.
struct polled_host {
    std::string host;
    std::string address;
};

/// Asks hosts for their reports and keeps the last ones. Thread-safe.
class host_poller {
public:
    using on_report = std::function<void(const host_report&, time_ms asked_at)>;

    /// `window` is how long a report counts. `notify` is called on the client's thread for each report.
    host_poller(http_client& client, time_ms window, on_report notify = {});

    /// Starts a question to each host that has none open. Returns at once.
    void poll(const std::vector<polled_host>& targets, time_ms limit);

    /// Runs `use` with the reports under the poller's lock; `use` must not call the poller.
    template <typename Use>
    auto with_health(Use use)
    {
        const std::scoped_lock lock{this->shared->mutex};
        return use(static_cast<const replica_health&>(this->shared->health));
    }

private:
    /// Outlives the poller while questions are open.
    struct state {
        explicit state(time_ms window) : health{window} {}
        std::mutex mutex; ///< Guards the members below; a leaf: no other lock is taken under it.
        replica_health health;
        std::set<std::string> open;
    };

    http_client& client;
    on_report notify;
    std::shared_ptr<state> shared;
};

} // namespace coriander
