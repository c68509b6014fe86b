#pragma once

#include "core/json_text.hpp"
#include "coriander/host.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// Latency and capacity of a stand-in engine.
struct engine_settings {
    int load_ms = 300;       ///< From a load order until the host reports ready.
    int first_token_ms = 60; ///< Prefill time for a prompt whose prefix is not cached.
    int cached_first_token_ms = 20;
    int token_ms = 10;    ///< Interval between tokens of a stream.
    int capacity = 16;    ///< Concurrent streams; further ones are queued.
    int queue_limit = 64; ///< Queued streams; further requests are rejected as not run.
    int default_tokens = 24;
};

/// Injected faults that tests switch on and off.
struct engine_faults {
    bool silent = false;       ///< Streams stall without closing; new connections work.
    bool unresponsive = false; ///< No request gets a response.
    bool ignore_fence = false;
    double slow_factor = 1.0;
    int report_lag_ms = 0;
    bool drop_cache_events = false; ///< Drops cache events, which leaves a gap in their sequence numbers.
    std::string crash_prompt; ///< A prompt that contains this text crashes the host, and so its replica.
    bool fail_fast = false;   ///< Every generate request fails immediately.
};

/// Returns an id that is unique to this start of the engine. Thread-safe.
[[nodiscard]] std::string new_incarnation();

/// A host of a stand-in engine. The leader of a replica generates; its streams end with an error when another
/// member does not answer or no longer belongs to the replica.
class engine_host {
public:
    using clock = std::chrono::steady_clock;

    engine_host(std::string id, engine_settings settings, http_client& client, bool exit_on_crash);

    /// Handles one request. Thread-safe.
    void handle(const http_request& request, const std::shared_ptr<http_reply>& reply);

    /// Sends the tokens that are due. To be called every few milliseconds from one thread.
    void tick();

    /// Asks the replica's other hosts whether they still belong to it. To be called a few times a second.
    void check_members();

private:
    struct stream {
        std::shared_ptr<http_reply> reply;
        std::string attempt;
        std::string prompt;
        std::uint64_t next = 0;
        std::uint64_t count = 0;
        int priority = 0;
        bool stalled = false; ///< Simulates a silent connection: sends nothing and does not close.
        clock::time_point due;
    };
    struct cache_event {
        std::uint64_t number;
        std::string prefix;
        bool stored;
    };

    void handle_order(const http_request& request, http_reply& reply);
    void apply_order(const json_object& order, http_reply& reply);
    void handle_generate(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void handle_cancel(const http_request& request, http_reply& reply);
    void handle_cache_events(const http_request& request, http_reply& reply);
    void handle_fault(const http_request& request, http_reply& reply);
    host_report current_report();
    host_report report_with_lag();
    void start_waiting_streams(clock::time_point now);
    bool advance(stream& current, clock::time_point now);
    void stall_streams();
    void end_all_streams(const std::string& error);
    void crash();
    void cache_prefix(const std::string& prompt);
    bool has_cached_prefix(const std::string& prompt) const;
    void on_member_lost(const std::string& replica, std::uint64_t generation);

    std::string id;
    engine_settings settings;
    http_client& client;
    bool exit_on_crash;
    std::mutex mutex; ///< Guards the members below.
    engine_faults faults;
    std::string incarnation;
    std::string replica;
    std::uint64_t generation = 0;
    std::uint64_t fence = 0;
    clock::time_point ready_at;
    std::vector<std::string> other_members; ///< Addresses.
    std::list<stream> running;
    std::list<stream> waiting;
    std::deque<std::pair<clock::time_point, host_report>> past_reports;
    std::set<std::string> prefixes;
    std::deque<cache_event> cache_events;
    std::uint64_t last_cache_event = 0;
    std::uint64_t served = 0;
    std::uint64_t crashes = 0;
    std::vector<std::shared_ptr<http_reply>> held_replies;
};

} // namespace coriander
