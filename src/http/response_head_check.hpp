#pragma once

#include <optional>
#include <string_view>

namespace coriander {

/// Checks the bytes of responses' heads for what parsers let through although it is no HTTP/1.1: blanks and
/// control bytes in the names of fields, folded lines, carriage returns without a line feed, and lines that
/// end in different ways (RFC 9112, sections 2.2 and 5). Interim responses and empty lines may come before
/// the final head. Not thread-safe.
class response_head_check {
public:
    /// Checks the next bytes, which may end anywhere. Returns false if they make the head invalid; then no
    /// more must be passed. Precondition: none of the bytes lies behind the end of the final head.
    [[nodiscard]] bool accept(std::string_view bytes) noexcept;

    /// Whether the bytes so far end with a whole head.
    [[nodiscard]] bool has_ended() const noexcept
    {
        return this->at == place::before_head && this->ends_with_carriage_return.has_value();
    }

private:
    enum class place { before_head, start_line, line_begin, name, value };

    bool accept_byte(char byte) noexcept;
    bool end_line(bool has_carriage_return) noexcept;

    place at = place::before_head;
    char previous = 0;
    std::optional<bool> ends_with_carriage_return; ///< Set by the first line, and binds the others.
};

} // namespace coriander
