#pragma once

#include "coriander/relay/event_framer.hpp"
#include "coriander/time_ms.hpp"
#include "net/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// The event stream sent to a caller, assembled from all attempts of a request: each event exactly once, in
/// order and complete. The headers are those of the first attempt that produced an event. Not thread-safe.
class response_stream {
public:
    explicit response_stream(std::shared_ptr<caller_connection> caller) : caller{std::move(caller)} {}

    /// Skips the events up to this number, which the caller already has.
    void resume_after(std::optional<std::uint64_t> number) { this->last = number; }

    /// Forwards the events completed by `bytes` that the caller doesn't have yet. `head` is the response head
    /// of the current attempt.
    void pass(std::string_view bytes, const message_head& head, time_ms now);

    /// Whether the bytes received so far end inside an event.
    [[nodiscard]] bool is_inside_event() const noexcept { return this->framer.is_inside_event(); }

    /// Ends the stream as complete. Precondition: `!is_inside_event()`.
    void finish(const message_head& head, time_ms now);

    /// Discards an incomplete event at the end of an attempt.
    void end_attempt() { this->framer.reset(); }

    /// Ends an attempt that may continue later; returns the bytes of an incomplete event.
    [[nodiscard]] std::string suspend_attempt() { return this->framer.take_partial(); }

    /// Whether an event exceeds the size limit.
    [[nodiscard]] bool is_too_long() const noexcept { return this->framer.is_too_long(); }
    [[nodiscard]] bool has_begun() const noexcept { return this->begun; }
    /// The number of the last event that the caller has.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const noexcept { return this->last; }
    /// The number of events forwarded.
    [[nodiscard]] std::size_t events() const noexcept { return this->event_count; }
    /// When the first event was forwarded; valid once the stream has begun.
    [[nodiscard]] time_ms begun_at() const noexcept { return this->first_at; }
    /// The longest time between forwarded events.
    [[nodiscard]] time_ms longest_gap() const noexcept { return this->max_gap; }

private:
    void begin(const message_head& head, time_ms now);

    std::shared_ptr<caller_connection> caller;
    event_framer framer;
    std::optional<std::uint64_t> last;
    std::size_t event_count = 0;
    bool begun = false;
    time_ms first_at;
    time_ms last_at; ///< When an event was last forwarded.
    time_ms max_gap;
};

} // namespace coriander
