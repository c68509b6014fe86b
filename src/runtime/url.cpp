#include "runtime/url.hpp"

#include <cctype>

namespace coriander {

std::string percent_encoded(std::string_view text)
{
    constexpr auto digits = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded += static_cast<char>(c);
        }
        else {
            encoded += {'%', digits[c >> 4U], digits[c & 0xFU]};
        }
    }
    return encoded;
}

} // namespace coriander
