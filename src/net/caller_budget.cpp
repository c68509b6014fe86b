#include "net/caller_budget.hpp"

#include <algorithm>

namespace coriander {
namespace {

/// Both say that the request has not run: the caller was too slow, or there was no room for its request.
constexpr int too_slow_status = 408;
constexpr int no_room_status = 503;

} // namespace

bool caller_budget::add(budgeted_connection& connection, time_ms now)
{
    while (this->members.size() >= this->limits.connections) {
        auto* victim = this->most_stalled(nullptr, 0);
        if (victim == nullptr) {
            ++this->ended;
            return false;
        }
        this->end(*victim, std::nullopt);
    }
    this->note_progress(this->members[&connection], now);
    this->used += connection_bytes;
    return true;
}

void caller_budget::remove(budgeted_connection& connection)
{
    const auto found = this->members.find(&connection);
    if (found == this->members.end()) {
        return;
    }
    this->stop_waiting(connection);
    this->used -= found->second.held + connection_bytes;
    this->members.erase(found);
    if (this->privileged == &connection) {
        this->privileged = nullptr;
    }
}

void caller_budget::update(budgeted_connection& connection, time_ms now)
{
    const auto found = this->members.find(&connection);
    if (found == this->members.end()) {
        return;
    }
    auto& state = found->second;
    const auto held = connection.held_bytes();
    const auto unread = connection.unread_bytes();
    const bool has_progress = held > state.held || unread < state.unread;
    this->used = this->used - state.held + held;
    state.held = held;
    state.unread = unread;
    if (has_progress) {
        this->note_progress(state, now);
    }
    if (this->privileged == &connection && held <= small_bytes) {
        this->privileged = nullptr;
    }
    if (this->used >= this->limits.bytes) {
        this->alarm();
    }
}

bool caller_budget::has_room(const budgeted_connection& connection, const member_state& state) const
{
    const auto room = this->limits.bytes + (state.held <= small_bytes ? this->reserve() : 0);
    return this->used < room || this->privileged == &connection;
}

std::size_t caller_budget::may_read(budgeted_connection& connection, time_ms now)
{
    const auto found = this->members.find(&connection);
    if (found == this->members.end()) {
        return large_read; // What a connection that is being closed still receives is discarded.
    }
    auto& state = found->second;
    if (state.waiting_since) {
        return 0;
    }
    const bool is_small = state.held <= small_bytes;
    while (is_small && !this->has_room(connection, state)) {
        auto* victim = this->most_stalled(&connection, 1);
        if (victim == nullptr) {
            break;
        }
        this->end(*victim, too_slow_status);
    }
    if (this->has_room(connection, state)) {
        return this->is_tight() && is_small ? small_bytes : large_read;
    }
    if (this->waiting.size() * unread_bytes_while_waiting >= this->limits.bytes) {
        this->end(connection, no_room_status);
        return 0;
    }
    state.waiting_since = now;
    this->waiting.push_back(&connection);
    this->alarm();
    return 0;
}

budgeted_connection* caller_budget::most_stalled(const budgeted_connection* except, std::size_t min_held)
{
    budgeted_connection* found = nullptr;
    std::uint64_t earliest = 0;
    for (const auto& [connection, state] : this->members) {
        const bool may_end =
            connection != except && !state.waiting_since && state.held >= min_held && connection->can_end();
        if (may_end && (found == nullptr || state.progress_number < earliest)) {
            found = connection;
            earliest = state.progress_number;
        }
    }
    return found;
}

void caller_budget::note_progress(member_state& state, time_ms now)
{
    state.progress_at = now;
    state.progress_number = ++this->last_progress_number;
}

void caller_budget::end(budgeted_connection& connection, std::optional<int> status)
{
    ++this->ended;
    this->stop_waiting(connection);
    this->privileged = this->privileged == &connection ? nullptr : this->privileged;
    connection.end_for_room(status);
    // A connection that is refused with a status stays until its caller has closed it.
    const auto left = this->members.find(&connection);
    if (left != this->members.end()) {
        this->update(connection, left->second.progress_at);
    }
}

void caller_budget::stop_waiting(budgeted_connection& connection)
{
    std::erase(this->waiting, &connection);
    this->members.at(&connection).waiting_since.reset();
}

void caller_budget::refresh(time_ms now)
{
    for (const auto& item : this->members) {
        this->update(*item.first, now);
    }
}

void caller_budget::relieve(time_ms now)
{
    this->refresh(now);
    this->end_stalled(now);
    this->refuse_overdue(now);
    this->resume_waiting(now);
}

void caller_budget::end_stalled(time_ms now)
{
    // While nothing waits, what is held harms nobody.
    while (!this->waiting.empty() && this->used >= this->limits.bytes) {
        auto* victim = this->most_stalled(nullptr, 1);
        if (victim == nullptr || now - this->members.at(victim).progress_at < stall_time) {
            return;
        }
        this->end(*victim, too_slow_status);
    }
}

void caller_budget::refuse_overdue(time_ms now)
{
    while (!this->waiting.empty()) {
        auto* first = this->waiting.front();
        if (now - *this->members.at(first).waiting_since < max_wait) {
            return;
        }
        this->end(*first, no_room_status);
    }
}

void caller_budget::resume_waiting(time_ms now)
{
    if (this->privileged == nullptr && !this->waiting.empty()) {
        this->privileged = this->waiting.front();
    }
    auto free = this->limits.bytes - std::min(this->limits.bytes, this->used);
    std::vector<budgeted_connection*> resumed;
    for (auto* connection : this->waiting) {
        if (connection == this->privileged) {
            resumed.push_back(connection);
        }
        else if (free >= large_read) {
            free -= large_read;
            resumed.push_back(connection);
        }
    }
    for (auto* connection : resumed) {
        this->stop_waiting(*connection);
        this->note_progress(this->members.at(connection), now);
    }
    for (auto* connection : resumed) {
        if (this->members.contains(connection)) {
            connection->read_on();
        }
    }
}

} // namespace coriander
