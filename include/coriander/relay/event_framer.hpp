#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

/// Splits the bytes of an event stream into complete events, so that a stream that is interrupted in the
/// middle of an event can be resumed on another target with the next complete event. Not thread-safe.
class event_framer {
public:
    /// Receives the bytes of an event, including the terminating blank line, and its number if it has one.
    using on_event = std::function<void(std::string_view bytes, std::optional<std::uint64_t> number)>;

    /// Appends bytes and calls `emit` for each event that is now complete.
    void feed(std::string_view bytes, const on_event& emit);

    /// Whether bytes of an incomplete event are buffered.
    [[nodiscard]] bool has_partial() const noexcept { return !this->partial.empty(); }
    /// Whether the buffered bytes are more than line ends after the last event.
    [[nodiscard]] bool is_inside_event() const noexcept
    {
        return this->partial.find_first_not_of("\r\n") != std::string::npos;
    }
    /// The number of buffered bytes.
    [[nodiscard]] std::size_t partial_bytes() const noexcept { return this->partial.size(); }
    /// Whether the incomplete event exceeds the maximum length of an event.
    [[nodiscard]] bool is_too_long() const noexcept { return this->partial.size() > max_event_bytes; }

    /// Discards an incomplete event, before the stream is resumed on another target.
    void reset() { this->partial.clear(); }

    /// Removes and returns the bytes of an incomplete event.
    [[nodiscard]] std::string take_partial() { return std::exchange(this->partial, {}); }

private:
    /// An event holds a few tokens, so anything longer is not a valid event.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    std::string partial;
};

/// The number in the `id` field of an event; nothing if it is missing or not a number.
[[nodiscard]] std::optional<std::uint64_t> event_number(std::string_view event);

} // namespace coriander
