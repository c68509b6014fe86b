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

/// How fast a stand-in engine works.
struct engine_pace {
    int load_ms = 300;       ///< From a load order to ready.
    int first_token_ms = 60; ///< Prefill, for a prompt without a cached prefix.
    int cached_first_token_ms = 20;
    int token_ms = 10; ///< Between tokens of one stream.
    int capacity = 16; ///< Streams at once; others wait.
    int queue = 64;    ///< Waiting at most; more are refused as not run.
    int default_tokens = 24;
};

/// Faults that tests switch on and off.
struct engine_faults {
    bool silent = false;       ///< Streams stop without closing; new connections work.
    bool unresponsive = false; ///< Nothing is answered at all.
    bool ignore_fence = false;
    double slow_factor = 1.0;
    int report_lag_ms = 0;
    bool drop_cache_events = false; ///< Cache events get lost, which leaves a gap in their numbers.
    std::string crash_prompt;       ///< A prompt holding this text kills the replica.
    bool fail_fast = false;         ///< Every generation ends at once with an error.
};

/// A name that no other start of an engine has.
[[nodiscard]] std::string new_incarnation();

/// One engine's host. Its leader generates; a member that is not heard of stops the whole replica.
class engine_host {
public:
    using clock = std::chrono::steady_clock;

    engine_host(std::string id, engine_pace pace, http_client& client, bool exit_on_crash);

    /// Answers one request. Thread-safe.
    void handle(const http_request& request, const std::shared_ptr<http_reply>& reply);

    /// Sends due tokens. Called every few milliseconds from one thread.
    void tick();

    /// Asks the replica's other hosts whether they still belong to it. Called a few times a second.
    void watch_members();

private:
    struct stream {
        std::shared_ptr<http_reply> reply;
        std::string attempt;
        std::string prompt;
        std::uint64_t next = 0;
        std::uint64_t count = 0;
        int priority = 0;
        bool muted =
            false; ///< Its connection was lost track of: nothing comes through, and it does not close.
        clock::time_point due;
    };
    struct cache_event {
        std::uint64_t number;
        std::string prefix;
        bool stored;
    };

    void handle_order(const http_request& request, http_reply& reply);
    void obey(const json_object& order, http_reply& reply);
    void handle_generate(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void handle_cancel(const http_request& request, http_reply& reply);
    void handle_cache_events(const http_request& request, http_reply& reply);
    void handle_fault(const http_request& request, http_reply& reply);
    host_report report_now();
    host_report lagged_report();
    void start_waiting(clock::time_point now);
    bool advance(stream& one, clock::time_point now);
    void mute_streams();
    void end_all(const std::string& why);
    void crash();
    void note_prefix(const std::string& prompt);
    bool holds_prefix(const std::string& prompt) const;
    void lose_member(const std::string& replica, std::uint64_t generation);

    std::string id;
    engine_pace pace;
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
    std::vector<std::shared_ptr<http_reply>> unanswered;
};

} // namespace coriander
