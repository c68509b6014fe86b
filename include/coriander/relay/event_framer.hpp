#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

/// Cuts the bytes of an event stream into whole events, so that a stream that breaks off in the middle of an
/// event can go on elsewhere with the next whole one. Not thread-safe.
class event_framer {
public:
    /// Takes an event's bytes, with the blank line that ends it, and its number if it has one.
    using on_event = std::function<void(std::string_view bytes, std::optional<std::uint64_t> number)>;

    /// Adds bytes and calls `emit` for each event that they complete.
    void feed(std::string_view bytes, const on_event& emit);

    /// Whether bytes of an unfinished event are held.
    [[nodiscard]] bool has_partial() const noexcept { return !this->partial.empty(); }
    /// Whether the unfinished event is longer than any event may be.
    [[nodiscard]] bool is_too_long() const noexcept { return this->partial.size() > max_event_bytes; }

    /// Drops an unfinished event, before the stream goes on elsewhere.
    void reset() { this->partial.clear(); }

    /// The bytes of an unfinished event, which are taken away.
    [[nodiscard]] std::string take_partial() { return std::exchange(this->partial, {}); }

private:
    /// An event holds some tokens; more than this is no event.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    std::string partial;
};

/// The number in an event's `id` field.
[[nodiscard]] std::optional<std::uint64_t> event_number(std::string_view event);

} // namespace coriander
