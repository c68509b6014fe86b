#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/// One fault in an input file, with its place. Line and column count from 1; 0 means the whole file.
struct finding {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string message;

    /// `file:line:column: message`, the form that editors can jump to.
    [[nodiscard]] std::string to_string() const;
};

/// All findings of one check, in the order of their places.
using findings = std::vector<finding>;

/// Sorts by place and joins to one text, a finding a line.
[[nodiscard]] std::string findings_text(findings list);

} // namespace coriander
