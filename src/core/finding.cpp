#include "coriander/finding.hpp"

#include <algorithm>
#include <tuple>

namespace coriander {

std::string finding::to_string() const
{
    if (this->line == 0) {
        return this->file + ": " + this->message;
    }
    return this->file + ":" + std::to_string(this->line) + ":" + std::to_string(this->column) + ": " +
           this->message;
}

std::string findings_text(findings list)
{
    std::stable_sort(list.begin(), list.end(), [](const finding& a, const finding& b) {
        return std::tie(a.file, a.line, a.column) < std::tie(b.file, b.line, b.column);
    });
    std::string text;
    for (const auto& entry : list) {
        text += entry.to_string() + "\n";
    }
    return text;
}

} // namespace coriander
