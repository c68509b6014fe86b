#pragma once

#include "coriander/host.hpp"
#include "coriander/replica.hpp"
#include "coriander/time_ms.hpp"

#include <map>
#include <string>

namespace coriander {

/// What keeps a replica from serving.
enum class replica_fault {
    none,
    not_wanted,        ///< Its row doesn't ask for service.
    host_silent,       ///< A host was not heard from within the window.
    wrong_incarnation, ///< A host started anew since the replica was formed.
    wrong_generation,  ///< A host holds another replica or an older forming of it.
    loading,           ///< A host is not ready yet.
};

/// The name in logs and lists.
[[nodiscard]] const char* name_of(replica_fault fault) noexcept;

/// The judgement of one replica.
struct replica_check_result {
    replica_fault fault = replica_fault::none;
    std::string host; ///< The host that is to blame, if one is.

    [[nodiscard]] bool serves() const noexcept { return this->fault == replica_fault::none; }
};

/// Keeps what hosts said last and judges replicas by it. Not thread-safe.
class replica_health {
public:
    /// `window` is how long a host's last report counts.
    explicit replica_health(time_ms window) : window{window} {}

    /// Takes a report in. `asked_at` is when the question was sent, so that an answer that was long under way
    /// does not count as fresh. An older question's answer is ignored.
    void on_report(const host_report& report, time_ms asked_at);

    /// A host answered that it is gone, or refused the connection.
    void on_host_lost(const std::string& host);

    /// Whether the replica may serve at `now`, and if not, why.
    [[nodiscard]] replica_check_result check(const replica_record& replica, time_ms now) const;

    /// The last report of a host if it is within the window; else null.
    [[nodiscard]] const host_report* fresh_report(const std::string& host, time_ms now) const;

    /// The time of the last report; nothing is known before the first.
    [[nodiscard]] std::optional<time_ms> last_report_time(const std::string& host) const;

private:
    struct heard {
        host_report report;
        time_ms at;
    };

    time_ms window;
    std::map<std::string, heard> hosts;
};

} // namespace coriander
