#include "ctl/operator_session.hpp"

#include <algorithm>
#include <sstream>

namespace coriander {
namespace {

std::vector<std::string> split_lines(const std::string& text)
{
    std::istringstream stream{text};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Lengths of the longest common subsequence for every pair of suffixes of `a` and `b`.
class lcs_table {
public:
    lcs_table(const std::vector<std::string>& a, const std::vector<std::string>& b)
        : width{b.size() + 1}, lengths((a.size() + 1) * (b.size() + 1), 0)
    {
        for (std::size_t i = a.size(); i-- > 0;) {
            for (std::size_t j = b.size(); j-- > 0;) {
                this->lengths[i * this->width + j] = a[i] == b[j]
                                                         ? this->at(i + 1, j + 1) + 1
                                                         : std::max(this->at(i + 1, j), this->at(i, j + 1));
            }
        }
    }

    [[nodiscard]] std::size_t at(std::size_t i, std::size_t j) const
    {
        return this->lengths[i * this->width + j];
    }

private:
    std::size_t width;
    std::vector<std::size_t> lengths;
};

} // namespace

std::string line_diff(const std::string& before, const std::string& after)
{
    const auto a = split_lines(before);
    const auto b = split_lines(after);
    const lcs_table lcs{a, b};
    std::string diff;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        }
        else if (j == b.size() || (i < a.size() && lcs.at(i + 1, j) >= lcs.at(i, j + 1))) {
            diff += "- " + a[i++] + "\n";
        }
        else {
            diff += "+ " + b[j++] + "\n";
        }
    }
    return diff;
}

} // namespace coriander
