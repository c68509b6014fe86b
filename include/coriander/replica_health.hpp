#pragma once

#include "coriander/host.hpp"
#include "coriander/replica.hpp"
#include "coriander/time_ms.hpp"

#include <map>
#include <string>

namespace coriander {

/// Reason why a replica can't serve.
enum class replica_fault {
    none,
    not_wanted,        ///< Its row is not in the state `serving` or has no hosts.
    host_silent,       ///< A host did not report within the window.
    wrong_incarnation, ///< A host restarted after the replica was formed.
    wrong_generation,  ///< A host holds another replica, another generation of it, or none.
    loading,           ///< A host is not ready yet.
};

/// Name of the fault in logs and listings.
[[nodiscard]] const char* name_of(replica_fault fault) noexcept;

/// Result of a health check of one replica.
struct replica_check_result {
    replica_fault fault = replica_fault::none;
    std::string host; ///< The host that causes the fault, if any.

    [[nodiscard]] bool serves() const noexcept { return this->fault == replica_fault::none; }
};

/// Stores the last report of each host and checks replicas against them. Not thread-safe.
class replica_health {
public:
    /// `window` is how long a report stays valid.
    explicit replica_health(time_ms window) : window{window} {}

    /// Stores a report. `asked_at` is the time at which the request for it was sent, so that a delayed
    /// response does not count as fresh. A response to an earlier request than that of the stored report is
    /// ignored.
    void on_report(const host_report& report, time_ms asked_at);

    /// To be called when a host reports that it has stopped, or refuses the connection.
    void on_host_lost(const std::string& host);

    /// Whether the replica can serve at `now`, and if not, why.
    [[nodiscard]] replica_check_result check(const replica_record& replica, time_ms now) const;

    /// The last report of a host if it is still valid; otherwise null.
    [[nodiscard]] const host_report* fresh_report(const std::string& host, time_ms now) const;

    /// When the request for the host's last report was sent; nothing if there is no report.
    [[nodiscard]] std::optional<time_ms> last_report_time(const std::string& host) const;

private:
    struct received_report {
        host_report report;
        time_ms at;
    };

    time_ms window;
    std::map<std::string, received_report> hosts;
};

} // namespace coriander
