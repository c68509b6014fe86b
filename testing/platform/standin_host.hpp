#pragma once

#include "core/json_text.hpp"
#include "coriander/clock.hpp"
#include "net/http_listener.hpp"
#include "platform/standin_statements.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander::standin {

/// Behaviour of the stand-in's engines. Times are short, so that a test takes seconds only.
struct engine_settings {
    time_ms load_time{400};
    time_ms staged_join_time{150};
    time_ms open_time{60};
    time_ms event_interval{20};  ///< Between events of one stream.
    time_ms stall_timeout{1500}; ///< The leader cuts its streams this long after a host is lost.
    time_ms crash_delay{30};     ///< From the start of such a request to the crash.
    time_ms crash_downtime{1500};
    unsigned events_per_answer = 12;
    unsigned slots = 26;
};

/// State shared by all hosts of the stand-in.
struct fleet_state {
    engine_settings settings;
    std::map<std::string, class standin_host*> hosts;
    std::map<std::string, unsigned> run_counts; ///< How often each attempt was started, by attempt id.
    std::string crashing_part;      ///< Requests with this prompt part crash the leader; empty for none.
    unsigned crashing_arrivals = 0; ///< Such requests that reached a host.
    unsigned crashes = 0;           ///< Hosts that they crashed.
    std::size_t most_arrivals = 0;  ///< At a host in a time window, a while after it stated a rate limit.
    unsigned marks_received = 0;    ///< Requests with the header that only gateways send to each other.
    unsigned joined_while_open = 0; ///< Joins of hosts whose previous leader still accepted requests.
    std::function<time_ms()> now = [clock = monotonic_clock{}] { return clock.now(); };
    /// Called when a host joins or leaves a replica.
    std::function<void(const json_object&)> record = [](const json_object&) {};
};

/// A host of an engine, or, without a fabric domain, a target of a plain service. Not thread-safe: used on
/// the event loop's thread only.
class standin_host {
public:
    /// Writes the host's entry in the platform's table of hosts; without a text, deletes it.
    using entry_writer = std::function<void(const std::string& id, const std::optional<std::string>& entry)>;

    standin_host(asio::io_context& loop, fleet_state& fleet, std::string id, std::string service,
                 std::string domain, entry_writer put_entry);
    ~standin_host();
    standin_host(const standin_host&) = delete;
    standin_host& operator=(const standin_host&) = delete;

    /// Stops responding and sending heartbeats; the entry expires shortly afterwards.
    void crash();
    /// Closes all connections and the port, as a process that ends, and restarts some time later.
    void die();
    /// Starts a new incarnation without the previous state.
    void restart();
    /// Stops responding until `resume`, but keeps its entry and state.
    void pause() { this->is_unresponsive = true; }
    /// Responds again, also to the requests received meanwhile.
    void resume();
    /// States a rate limit in all responses; zero ends it. Counts arrivals in windows of `limit_window`.
    void set_rate_limit(double per_second);
    /// What the host states about itself in its responses only.
    [[nodiscard]] standin_statements& statements() noexcept { return this->own_statements; }
    /// Announces that the host will leave.
    void drain();

    [[nodiscard]] const std::string& name() const noexcept { return this->id; }
    [[nodiscard]] bool leads_open_replica() const;
    /// The replica that the host reports to be part of; empty without one.
    [[nodiscard]] std::string replica() const
    {
        return this->membership ? this->membership->replica : std::string{};
    }

private:
    struct replica_membership {
        std::string replica;
        std::uint64_t generation = 0;
        std::vector<std::string> members;
        std::string model;
        std::string state = "joining";
        std::map<std::string, time_ms> missing_since = {}; ///< By member, while there are streams.
    };
    struct stream {
        std::weak_ptr<caller_connection> caller;
        std::string attempt;
        std::vector<http_header> headers;
        unsigned next_event = 1;
        bool has_begun = false;
    };

    void listen();
    void count_arrival();
    void serve(const std::shared_ptr<caller_connection>& caller, const incoming_request& request);
    void serve_order(caller_connection& caller, const incoming_request& request);
    int execute_order(const json_object& order);
    int join(const json_object& order);
    void serve_request(const std::shared_ptr<caller_connection>& caller, const incoming_request& request);
    void begin(stream& started);
    void send_events();
    void advance_streams();
    void note_stall();
    void end_membership();
    void record_membership() const;
    void close_connections();
    void write_entry();
    [[nodiscard]] json_object encode_state() const;
    /// Members of the replica on which its work can't rely.
    [[nodiscard]] std::vector<std::string> missing_members() const;
    [[nodiscard]] bool is_member(const std::string& replica, std::uint64_t generation) const;
    void run_after(time_ms delay, std::function<void()> action);

    asio::io_context& loop;
    fleet_state& fleet;
    std::string id;
    std::string service;
    std::string domain;
    entry_writer put_entry;
    std::shared_ptr<http_listener> listener;
    asio::steady_timer heartbeat_timer;
    asio::steady_timer event_timer;
    std::uint64_t incarnation = 0;
    std::uint64_t orders_accepted = 0;
    std::uint64_t heartbeats = 0;
    std::vector<std::string> staged;
    std::optional<replica_membership> membership;
    std::list<stream> streams;
    std::list<std::weak_ptr<caller_connection>> connections;
    std::list<std::pair<std::shared_ptr<caller_connection>, incoming_request>> unanswered;
    static constexpr time_ms limit_window{4000};
    static constexpr time_ms limit_grace{3000}; ///< Arrivals count from then on.
    standin_statements own_statements;
    double rate_limit = 0.0;
    time_ms limited_since;
    std::deque<time_ms> arrivals;
    bool is_unresponsive = false;
    bool is_lost = false;                               ///< Until it restarts.
    std::vector<std::function<void()>> overdue_actions; ///< Became due while the host was unresponsive.
    bool is_draining = false;
};

} // namespace coriander::standin
