#include "coriander/build_name.hpp"

#include <algorithm>

namespace coriander {

const std::string& own_build_name()
{
    constexpr std::string_view commit = CORIANDER_COMMIT;
    static const std::string name =
        std::string{CORIANDER_VERSION} + (commit.empty() ? "" : "+" + std::string{commit});
    return name;
}

std::string checked_build_name(std::string_view reported)
{
    constexpr std::string_view others = ".+-_";
    std::string name{reported.substr(0, max_build_name_length)};
    std::erase_if(name, [&](char letter) {
        const bool is_digit = letter >= '0' && letter <= '9';
        const bool is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
        return !is_digit && !is_letter && others.find(letter) == std::string_view::npos;
    });
    return name;
}

} // namespace coriander
