#pragma once

#include <string>
#include <string_view>

namespace coriander {

/// An operator's wish that a host be emptied is the presence of this row.
constexpr std::string_view drain_prefix = "drains/";

[[nodiscard]] inline std::string drain_row_key(std::string_view host)
{
    return std::string{drain_prefix} + std::string{host};
}

} // namespace coriander
