#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

/// One event of an engine's stream.
struct stream_event {
    std::string attempt;     ///< The id that the engine echoes.
    std::uint64_t index = 0; ///< Place of the token in the whole answer; for the end, the number of tokens.
    std::string text;
    bool is_end = false;
};

/// What to do with an event.
enum class stream_step {
    emit,          ///< Pass the token on.
    drop,          ///< Already passed on, or the event of an attempt that was given up.
    finish,        ///< The answer is whole.
    abort_attempt, ///< Close this attempt: a token is missing or the end came early.
};

/// Follows one answer over all attempts that contribute to it, so that the caller gets each token once and in
/// order. Not thread-safe.
class stream_progress {
public:
    /// Makes `attempt` the only one whose events count from now on.
    void begin_attempt(std::string_view attempt);

    /// Judges the next event. After `emit` the token counts as passed on.
    [[nodiscard]] stream_step accept(const stream_event& event);

    /// The index of the first token that is still missing.
    [[nodiscard]] std::uint64_t next_index() const noexcept { return this->next; }

    /// All text passed on so far; a resumed attempt continues behind it.
    [[nodiscard]] const std::string& text() const noexcept { return this->emitted; }

    [[nodiscard]] bool is_whole() const noexcept { return this->whole; }

private:
    std::string current_attempt;
    std::uint64_t next = 0;
    std::string emitted;
    bool whole = false;
};

} // namespace coriander
