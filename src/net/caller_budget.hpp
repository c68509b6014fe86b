#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace coriander {

/// A connection whose memory counts in a `caller_budget`.
class budgeted_connection {
public:
    virtual ~budgeted_connection() = default;
    /// Bytes that the process holds for the connection.
    [[nodiscard]] virtual std::size_t held_bytes() const = 0;
    /// Those of them that wait until the caller reads them.
    [[nodiscard]] virtual std::size_t unread_bytes() const = 0;
    /// Whether no request of it is being answered, so that it may be ended.
    [[nodiscard]] virtual bool can_end() const = 0;
    /// Ends the connection: a request that is incomplete is refused as not run, with `status` if there is
    /// one.
    virtual void end_for_room(std::optional<int> status) = 0;
    /// Continues reading after `may_read` has returned 0.
    virtual void read_on() = 0;
};

/// Bounds of a `caller_budget`.
struct caller_budget_limits {
    std::size_t bytes = 40U << 20U; ///< Held for all connections together.
    std::size_t connections = 2048;
};

/// Bounds the memory and the number of callers' connections, whatever callers send. Near the bound, what
/// would exceed it waits unread; then the connections that have made no progress for longest are ended.
/// Requests of a few kilobytes have a reserve of their own. One connection at a time may exceed the bound by
/// its request, so that requests which wait for each other go on one by one. Answers the load of crowds of
/// callers that stop short of the end of large requests and stay. Knows no sockets. Not thread-safe.
class caller_budget {
public:
    explicit caller_budget(caller_budget_limits limits) : limits{limits} {}

    /// Adds a connection. May end another one that has made no progress for longest. Returns false if all
    /// places are taken by connections whose requests are being answered.
    [[nodiscard]] bool add(budgeted_connection& connection, time_ms now);
    /// Removes a connection; no effect if it is not there.
    void remove(budgeted_connection& connection);

    /// Takes over how much the connection holds now. Call it after each change.
    void update(budgeted_connection& connection, time_ms now);
    /// How many bytes the connection may read now. If there is no room, 0: its `read_on` is called later, or
    /// it is ended. May end other connections.
    [[nodiscard]] std::size_t may_read(budgeted_connection& connection, time_ms now);

    /// Whether so much is held that connections should take no more than they need.
    [[nodiscard]] bool is_tight() const noexcept { return this->used >= this->limits.bytes / 2; }

    /// Whether connections wait or the bound is exceeded, so that `relieve` is to be called again and again.
    [[nodiscard]] bool needs_relief() const noexcept
    {
        return !this->waiting.empty() || this->used >= this->limits.bytes;
    }
    /// Ends connections that make no progress while others wait, and lets those go on for which there is
    /// room.
    void relieve(time_ms now);
    /// Sets the function that is called when relief is needed from now on.
    void on_relief_needed(std::function<void()> listener) { this->alarm = std::move(listener); }

    [[nodiscard]] std::size_t used_bytes() const noexcept { return this->used; }
    [[nodiscard]] std::size_t connections() const noexcept { return this->members.size(); }
    [[nodiscard]] std::size_t waiting_connections() const noexcept { return this->waiting.size(); }
    /// Connections that were ended for lack of room since the start, and those that were not accepted.
    [[nodiscard]] std::uint64_t ended_count() const noexcept { return this->ended; }

private:
    /// What an idle connection takes.
    static constexpr std::size_t connection_bytes = 2048;
    /// A connection that holds no more than this may use the reserve.
    static constexpr std::size_t small_bytes = 16384;
    static constexpr std::size_t large_read = 65536;
    /// Bytes that wait unread in the system's buffers for each waiting connection.
    static constexpr std::size_t unread_bytes_while_waiting = 65536;
    /// A connection without progress for this time may be ended while others wait.
    static constexpr time_ms stall_time{1000};
    /// A connection that waits for longer is refused.
    static constexpr time_ms max_wait{3000};

    struct member_state {
        std::size_t held = 0;
        std::size_t unread = 0;
        time_ms progress_at;
        std::uint64_t progress_number = 0; ///< Orders progress within a millisecond.
        std::optional<time_ms> waiting_since;
    };

    [[nodiscard]] bool has_room(const budgeted_connection& connection, const member_state& state) const;
    /// The connection without progress for longest among those that may be ended and do not wait for room.
    [[nodiscard]] budgeted_connection* most_stalled(const budgeted_connection* except, std::size_t min_held);
    void note_progress(member_state& state, time_ms now);
    void end(budgeted_connection& connection, std::optional<int> status);
    void stop_waiting(budgeted_connection& connection);
    void refresh(time_ms now);
    void refuse_overdue(time_ms now);
    void end_stalled(time_ms now);
    void resume_waiting(time_ms now);
    [[nodiscard]] std::size_t reserve() const noexcept { return this->limits.bytes / 4; }

    caller_budget_limits limits;
    std::unordered_map<budgeted_connection*, member_state> members;
    std::vector<budgeted_connection*> waiting; ///< In the order in which they go on.
    budgeted_connection* privileged = nullptr; ///< May exceed the bound.
    std::size_t used = 0;
    std::uint64_t ended = 0;
    std::uint64_t last_progress_number = 0;
    std::function<void()> alarm = [] {};
};

} // namespace coriander
