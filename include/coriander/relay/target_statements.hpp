#pragma once

#include "coriander/relay/host_statement.hpp"
#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriander {

/// The key of a host, the same on every daemon. Thread-safe.
[[nodiscard]] host_key key_of_host(std::string_view id, std::uint64_t incarnation, std::string_view address);

/// The number of statements in force.
struct statement_counts {
    std::size_t leaving = 0;
    std::size_t pauses = 0;
};

/// What hosts have stated about themselves in their responses, until it ends. The host list does not change
/// it: it lags behind, and may be an old copy. Not thread-safe.
class target_statements {
public:
    /// Beyond this number of hosts, the one whose last statement is the oldest is forgotten.
    static constexpr std::size_t max_hosts = 4096;

    /// Records that the host leaves, as stated at `now`. Never ends: another incarnation has another key.
    /// Returns whether it was not known before.
    bool on_leaving(host_key host, time_ms now);

    /// Whether the host has stated that it leaves.
    [[nodiscard]] bool is_leaving(host_key host) const;

    /// Increases whenever a host is newly known to leave.
    [[nodiscard]] std::uint64_t leaving_changes() const noexcept { return this->leaving_count; }

    /// Records that the host wants no requests for `wait` from `now` on. A longer wait that it has stated
    /// before stays. `noise`, in [0, 1), says how long after its end this daemon sends requests again: the
    /// daemons return one after the other. Returns whether the end changes.
    bool on_pause(host_key host, time_ms wait, double noise, time_ms now);

    /// When this daemon may send requests to the host again; a time in the past if it has stated no wait.
    [[nodiscard]] time_ms paused_until(host_key host) const;

    /// Records what another daemon has received or been sent. Returns whether that changes anything.
    bool on_peer_statement(const host_statement& statement, double noise, time_ms now);

    /// The statements in force that other daemons may not know yet, newest first, at most `limit`.
    [[nodiscard]] std::vector<host_statement> report(std::size_t limit, time_ms now) const;

    /// The number of statements in force. Hosts that have left since are among them.
    [[nodiscard]] statement_counts counts(time_ms now) const;

    /// The number of hosts with a statement.
    [[nodiscard]] std::size_t size() const noexcept { return this->hosts.size(); }

private:
    /// The longest time over which daemons return, as a fraction of the wait, and its bounds. A daemon's
    /// requests take some 100 ms to show in the load that others see.
    static constexpr std::int64_t wait_per_spread = 4;
    static constexpr time_ms min_spread{100};
    static constexpr time_ms max_spread{1000};
    /// Longer waits count as this long, so that sums of times don't overflow.
    static constexpr time_ms max_wait{1'000'000'000'000};

    /// A wait that is passed on grows by the time that messages take. Smaller differences are ignored, so
    /// that daemons don't prolong it for each other.
    static constexpr time_ms peer_tolerance{100};
    /// How long a statement is passed on. Within this time each daemon gets many messages, and most leaving
    /// hosts are gone.
    static constexpr time_ms report_time{60000};

    struct known_host {
        time_ms stated_at; ///< The last time, or when another daemon passed it on first.
        time_ms pause_end; ///< As stated.
        time_ms share;     ///< Of the spread; this daemon waits so much longer.
        bool is_leaving = false;
    };

    /// The entry of the host, created if there is none.
    known_host& entry_of(host_key host, time_ms now);

    std::unordered_map<host_key, known_host> hosts;
    std::uint64_t leaving_count = 0; ///< Hosts that were noted as leaving, those forgotten since included.
};

} // namespace coriander
