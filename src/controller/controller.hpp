#pragma once

#include "controller/shard_keeper.hpp"
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

/// Keeps the shards that fall to this entry host: one thread asks hosts for reports, one reads the table and
/// decides. Lock order: `mutex`, then the poller's, then metrics and log.
class controller {
public:
    /// `incarnation` tells this run of the controller from earlier ones.
    controller(const settings& values, const std::string& incarnation, metrics& numbers);
    ~controller();
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    /// Starts both threads. `http_address` is where operators' tools can ask this controller.
    void start(const std::string& http_address);

    /// Ends both threads and gives the shards up.
    void stop();

    /// Whether the last round could read the table. Thread-safe.
    [[nodiscard]] bool is_ready() const noexcept { return this->table_read; }

private:
    using keeper_type = shard_keeper<platform_client, monotonic_clock>;

    void poll_loop();
    void work_loop();
    bool wait(time_ms length);
    void work();
    bool read_platform();
    bool read_config();
    bool read_rows(std::vector<host_record> hosts);
    void read_members(const std::vector<table_row>& rows, time_ms now);
    void note_table(bool reachable);
    void announce(const std::string& http_address);
    void keep_shards();
    bool should_try(const std::string& shard, std::size_t rank) const;
    void fill_reports();
    void choose_polled();
    void log_changes(const fleet& view);
    void account(const fleet& view);
    keeper_type& keeper_of(const std::string& shard);
    void send(const engine_order& order);

    settings values;
    std::string self;
    monotonic_clock clock;
    metrics& numbers;
    platform_client platform;
    http_client client;
    host_poller poller;
    std::mutex mutex; ///< Guards `stopping` and `polled`.
    std::condition_variable stop_requested;
    bool stopping = false;
    std::vector<polled_host> polled;
    std::atomic<bool> table_read{false};
    // Touched by the working thread only, until the end of the class.
    bool table_was_reachable = true;
    bool announced = false;
    std::string http_address;
    time_ms started_at;
    std::uint64_t config_number = 0;
    configuration config;
    fleet_snapshot snapshot;
    row_freshness member_rows;
    std::vector<std::string> members;
    std::map<std::string, std::unique_ptr<keeper_type>> keepers;
    std::map<std::string, replica_fault> known_faults;
    fleet_account totals;
    std::thread poll_thread;
    std::thread work_thread;
};

} // namespace coriander
