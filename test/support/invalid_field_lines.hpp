#pragma once

#include <string>
#include <vector>

namespace coriander {

/// Lines that are no valid field of a response whose body is framed by `Content-Length: 2`, each with its
/// line end. The name of a field holds a blank or a control byte, which folds the line or ends the head early
/// if it is the first one.
inline std::vector<std::string> invalid_field_lines()
{
    constexpr char first_visible = '!';
    constexpr char del = 127;
    const std::string line = "Content-Length: 2\r\n";
    std::string bytes{del};
    for (char byte = 0; byte < first_visible; ++byte) {
        bytes += byte;
    }
    std::vector<std::string> lines;
    for (const char byte : bytes) {
        for (std::size_t at = 0; at <= line.find(':'); ++at) {
            lines.push_back(line);
            if (line[at] == ':') {
                lines.back().insert(at, 1, byte);
            }
            else {
                lines.back()[at] = byte;
            }
        }
    }
    return lines;
}

} // namespace coriander
