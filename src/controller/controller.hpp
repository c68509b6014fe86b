#pragma once

#include "controller/shard_manager.hpp"
#include "coriander/configuration.hpp"
#include "coriander/fleet_account.hpp"
#include "coriander/fleet_snapshot.hpp"
#include "coriander/row_freshness.hpp"
#include "coriander/settings.hpp"
#include "http/http_client.hpp"
#include "runtime/host_poller.hpp"
#include "runtime/metrics.hpp"
#include "runtime/platform_client.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coriander {

/// Manages the shards that are assigned to this entry host. One thread polls the hosts for reports; another
/// reads the table and makes decisions. Lock order: `mutex`, then the poller's mutex, then those of metrics
/// and log.
class controller {
public:
    /// `incarnation` distinguishes this run of the controller from earlier ones.
    controller(const settings& values, const std::string& incarnation, metrics& registry);
    ~controller();
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    /// Starts both threads. `http_address` is published in the table for operators' tools.
    void start(const std::string& http_address);

    /// Stops both threads and releases the leases of all shards held.
    void stop();

    /// Whether the last round was able to read the table. Thread-safe.
    [[nodiscard]] bool is_ready() const noexcept { return this->last_read_succeeded; }

private:
    using manager_type = shard_manager<platform_client, monotonic_clock>;

    void poll_loop();
    void control_loop();
    bool wait(time_ms length);
    void run_round();
    bool read_platform();
    bool read_config();
    bool read_rows(std::vector<host_record> hosts);
    void read_members(const std::vector<table_row>& rows, time_ms now);
    void update_table_state(bool reachable);
    void publish_address(const std::string& http_address);
    void manage_shards();
    bool may_acquire(const std::string& shard, std::size_t rank) const;
    void merge_reports();
    void update_poll_targets();
    void log_replica_changes(const fleet& view);
    void update_metrics(const fleet& view);
    manager_type& manager_for(const std::string& shard);
    void send(const engine_order& order);

    settings values;
    std::string holder_id;
    monotonic_clock clock;
    metrics& registry;
    platform_client platform;
    http_client client;
    host_poller poller;
    std::mutex mutex; ///< Guards `stopping` and `poll_targets`.
    std::condition_variable stop_requested;
    bool stopping = false;
    std::vector<polled_host> poll_targets;
    std::atomic<bool> last_read_succeeded{false};
    // The members from here on are used by `control_thread` only.
    bool table_was_reachable = true;
    bool address_published = false;
    std::string http_address;
    time_ms started_at;
    std::uint64_t config_number = 0;
    configuration config;
    fleet_snapshot snapshot;
    row_freshness member_rows;
    std::vector<std::string> members;
    std::map<std::string, std::unique_ptr<manager_type>> managers;
    std::map<std::string, replica_fault> known_faults;
    fleet_account totals;
    std::thread poll_thread;
    std::thread control_thread;
};

} // namespace coriander
