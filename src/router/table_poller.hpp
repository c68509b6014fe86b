#pragma once

#include "coriander/host.hpp"
#include "coriander/isolation_monitor.hpp"
#include "coriander/member_row.hpp"
#include "coriander/replica.hpp"
#include "coriander/settings.hpp"
#include "router/config_store.hpp"
#include "router/peer_exchange.hpp"
#include "runtime/platform_client.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// The targets, as last read from the platform.
struct target_list {
    std::vector<replica_record> replicas;
    std::vector<host_record> hosts;
    std::set<std::string> drained; ///< Hosts that operators are draining.
};

/// Polls the platform's table and host list for a router, and maintains the router's row in the table. While
/// the platform is unreachable the last state is kept. `refresh`, `write_member_row` and `remove_member_row`
/// must not run concurrently; the other methods are thread-safe.
class table_poller {
public:
    table_poller(const settings& values, platform_client& platform, config_store& configs,
                 peer_exchange& peers);

    /// Reads the configuration, hosts, replicas and drains, and the members if their interval has passed.
    /// Blocks.
    void refresh();

    /// Writes the router's row if its content has changed or its renewal is due. Blocks.
    void write_member_row(bool stopping);

    /// Deletes the router's row at the end of a graceful shutdown. Call after the last `refresh`. Blocks.
    void remove_member_row();

    [[nodiscard]] std::shared_ptr<const target_list> targets() const;
    [[nodiscard]] bool table_reachable() const noexcept { return this->reachable; }

    /// Whether new requests may be accepted; false while the router is isolated.
    [[nodiscard]] bool may_serve();

private:
    bool read_config();
    void read_members();
    void read_targets();
    void on_table_result(bool is_reachable);

    const settings& values;
    platform_client& platform;
    config_store& configs;
    peer_exchange& peers;
    monotonic_clock clock;
    mutable std::mutex mutex; ///< Guards `list` and `isolation`; a leaf lock.
    std::shared_ptr<const target_list> list = std::make_shared<target_list>();
    isolation_monitor isolation;
    std::atomic<bool> reachable{true};
    member_row written;
    std::uint64_t row_version = 0;
    time_ms written_at;
    time_ms members_read_at;
    bool has_read_members = false;
};

} // namespace coriander
