#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/// One fault in an input file, with its position. Line and column start at 1; line 0 means the whole file.
struct finding {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string message;

    /// `file:line:column: message`, a format that editors recognise as a link.
    [[nodiscard]] std::string to_string() const;
};

/// The findings of one check, in the order in which they were made.
using findings = std::vector<finding>;

/// Sorts the findings by position and formats them, one per line.
[[nodiscard]] std::string findings_text(findings list);

} // namespace coriander
