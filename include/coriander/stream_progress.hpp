#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

/// One event of an engine's answer stream.
struct stream_event {
    std::string attempt;     ///< The attempt id, echoed by the engine.
    std::uint64_t index = 0; ///< Index of the token in the complete answer; at the end, the number of tokens.
    std::string text;
    bool is_end = false;
};

/// How to handle an event.
enum class stream_step {
    emit,          ///< Forward the token to the caller.
    drop,          ///< Ignore it: already forwarded, or from an abandoned attempt.
    finish,        ///< The answer is complete.
    abort_attempt, ///< Abort this attempt: a token is missing or the end came early.
};

/// Tracks the progress of one answer over all its attempts, so that the caller receives each token once and
/// in order. Not thread-safe.
class stream_progress {
public:
    /// Starts a new attempt. Events of all other attempts are dropped from now on.
    void begin_attempt(std::string_view attempt);

    /// Processes the next event. After `emit` the token counts as forwarded.
    [[nodiscard]] stream_step accept(const stream_event& event);

    /// Index of the first token that is still missing.
    [[nodiscard]] std::uint64_t next_index() const noexcept { return this->next; }

    /// The text forwarded so far; a resumed attempt continues after it.
    [[nodiscard]] const std::string& text() const noexcept { return this->emitted; }

    [[nodiscard]] bool is_complete() const noexcept { return this->complete; }

private:
    std::string current_attempt;
    std::uint64_t next = 0;
    std::string emitted;
    bool complete = false;
};

} // namespace coriander
