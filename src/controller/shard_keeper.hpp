#pragma once

#include "coriander/clock.hpp"
#include "coriander/configuration.hpp"
#include "coriander/dark_watch.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/settings.hpp"
#include "coriander/shard_lease.hpp"
#include "runtime/platform_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace coriander {

/// An order to an engine's host.
struct engine_order {
    std::string host;
    std::string address;
    std::string body; ///< JSON.
    std::string summary;
};

/// One controller's work on one shard: holds its lease, changes its replicas, and orders its hosts.
/// Not thread-safe.
class shard_keeper {
public:
    /// Sends an order; returns at once.
    using send_order = std::function<void(const engine_order&)>;

    shard_keeper(std::string shard, std::string self, const settings& values, platform_client& platform,
                 const monotonic_clock& clock, send_order send);

    /// Takes or renews the lease. Returns whether the shard is held.
    bool hold();

    /// Does one round of work. Precondition: `hold` returned true in this round.
    void work(const configuration& config, fleet_snapshot& snapshot);

    /// Gives the shard up.
    void release();

    [[nodiscard]] bool is_held() const { return this->lease.remaining() > time_ms{}; }
    [[nodiscard]] const std::string& name() const noexcept { return this->shard; }

    /// When the lease was taken. Hosts not heard of since then are judged from that moment.
    [[nodiscard]] time_ms held_since() const noexcept { return this->since; }

private:
    void look_for_darkness(const fleet_snapshot& snapshot, time_ms now);
    void change_replicas(const configuration& config, const fleet_snapshot& snapshot, time_ms now);
    bool carry_out(const placement_step& step, const configuration& config, const fleet_snapshot& snapshot);
    bool commit(std::vector<table_write> writes, const std::string& what);
    void free_quarantined(const fleet_snapshot& snapshot, time_ms now);
    void order_hosts(const fleet_snapshot& snapshot, time_ms now);
    void order(const fleet_host& host, const replica_record* replica, time_ms now);
    [[nodiscard]] bool may_free(const fleet_host& host, time_ms now);
    [[nodiscard]] bool is_ours(const fleet_host& host) const;

    std::string shard;
    const settings& values;
    const monotonic_clock& clock;
    platform_client& platform;
    shard_lease<platform_client, monotonic_clock> lease;
    send_order send;
    dark_watch darkness;
    bool was_held = false;
    time_ms since;
    time_ms no_hold_before;
    time_ms last_change;
    std::map<std::string, time_ms> ordered_at;
    std::map<std::string, time_ms> empty_since;
};

} // namespace coriander
