#include "core/text.hpp"

namespace coriander {

std::string joined(std::span<const std::string> names, std::string_view separator)
{
    std::string text;
    for (const auto& name : names) {
        text += text.empty() ? "" : separator;
        text += name;
    }
    return text;
}

} // namespace coriander
