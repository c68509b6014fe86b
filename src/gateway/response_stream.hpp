#pragma once

#include "coriander/relay/event_framer.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/target_answer.hpp"
#include "net/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// The response to a caller, and the only way to it: either a whole response, or an event stream assembled
/// from all attempts of a request, with each event exactly once, in order and complete. The stream's headers
/// are those of the first attempt that produced an event. Not thread-safe.
class response_stream {
public:
    explicit response_stream(std::shared_ptr<caller_connection> caller) : caller{std::move(caller)} {}

    /// Sends a whole response. Precondition: `!has_begun()`; otherwise the response breaks off.
    void send_whole(int status, std::vector<http_header> headers, std::string_view body);

    /// Breaks off the response, so that the caller sees that it is incomplete.
    void abort() { this->caller->abort(); }

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

    /// Bytes of an incomplete event that are held.
    [[nodiscard]] std::size_t held_bytes() const noexcept { return this->framer.partial_bytes(); }
    /// Whether an event exceeds the size limit.
    [[nodiscard]] bool is_too_long() const noexcept { return this->framer.is_too_long(); }
    [[nodiscard]] bool has_begun() const noexcept { return this->form.has_value(); }
    /// The form of the stream, which responses to later attempts have to match; empty before it has begun.
    [[nodiscard]] const std::optional<stream_form>& begun_form() const noexcept { return this->form; }
    /// The number of the last event that the caller has.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const noexcept { return this->last; }
    /// The number of events with a number, forwarded or had by the caller before. Comments and the like that
    /// a stalled target sends are not among them.
    [[nodiscard]] std::size_t numbered_events() const noexcept { return this->numbered_count; }
    /// The number of events forwarded.
    [[nodiscard]] std::size_t events() const noexcept { return this->event_count; }
    /// When the first event was forwarded; valid once the stream has begun.
    [[nodiscard]] time_ms begun_at() const noexcept { return this->first_at; }
    /// The longest time between forwarded events.
    [[nodiscard]] time_ms longest_gap() const noexcept { return this->max_gap; }

    /// Whether the caller had already disconnected when its request was read.
    [[nodiscard]] bool has_caller_disconnected() { return this->caller->has_caller_disconnected(); }
    /// Sets the callback for a disconnect before the end of the response.
    void on_disconnected(std::function<void()> listener)
    {
        this->caller->on_disconnected(std::move(listener));
    }
    /// Bytes that are queued for a slow caller.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->caller->unsent(); }
    /// Sets the callback for an empty send queue.
    void on_drained(std::function<void()> listener) { this->caller->on_drained(std::move(listener)); }

private:
    void begin(const message_head& head, time_ms now);

    std::shared_ptr<caller_connection> caller;
    event_framer framer;
    std::optional<std::uint64_t> last;
    std::size_t event_count = 0;
    std::size_t numbered_count = 0;
    std::optional<stream_form> form; ///< Set once the stream has begun.
    time_ms first_at;
    time_ms last_at; ///< When an event was last forwarded.
    time_ms max_gap;
};

} // namespace coriander
