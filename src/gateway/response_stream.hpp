#pragma once

#include "coriander/relay/event_framer.hpp"
#include "coriander/time_ms.hpp"
#include "net/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace coriander {

/// The stream that a caller receives, over all attempts that contribute to it: each event once, in order and
/// whole. The headers are those of the first attempt that sent an event. Not thread-safe.
class response_stream {
public:
    explicit response_stream(std::shared_ptr<caller_connection> caller) : caller{std::move(caller)} {}

    /// The caller has all events up to this one already.
    void resume_after(std::optional<std::uint64_t> number) { this->last = number; }

    /// Passes on the events that the bytes complete and that the caller doesn't have. `head` is the
    /// attempt's.
    void pass(std::string_view bytes, const wire_head& head, time_ms now);

    /// Ends the stream as whole.
    void finish(const wire_head& head, time_ms now);

    /// Drops an unfinished event: the attempt is over.
    void end_attempt() { this->framer.reset(); }

    /// Whether the target writes an event that is longer than any may be.
    [[nodiscard]] bool is_too_long() const noexcept { return this->framer.is_too_long(); }
    [[nodiscard]] bool has_begun() const noexcept { return this->begun; }
    /// The last event that the caller has.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const noexcept { return this->last; }
    /// Events passed on.
    [[nodiscard]] std::size_t events() const noexcept { return this->event_count; }
    /// When the first of them was; meaningful once the stream has begun.
    [[nodiscard]] time_ms begun_at() const noexcept { return this->first_at; }
    /// The longest time between events that were passed on.
    [[nodiscard]] time_ms longest_gap() const noexcept { return this->max_gap; }

private:
    void begin(const wire_head& head, time_ms now);

    std::shared_ptr<caller_connection> caller;
    event_framer framer;
    std::optional<std::uint64_t> last;
    std::size_t event_count = 0;
    bool begun = false;
    time_ms first_at;
    time_ms last_at; ///< When an event was last passed on.
    time_ms max_gap;
};

} // namespace coriander
