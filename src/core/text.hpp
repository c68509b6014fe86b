#pragma once

#include <span>
#include <string>
#include <string_view>

namespace coriander {

/// Joins names with a separator between them.
[[nodiscard]] std::string joined(std::span<const std::string> names, std::string_view separator);

} // namespace coriander
