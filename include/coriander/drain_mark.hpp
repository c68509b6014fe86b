#pragma once

#include <string>
#include <string_view>

namespace coriander {

/// Prefix of the rows that mark hosts for draining. The presence of a host's row is the operator's request.
constexpr std::string_view drain_prefix = "drains/";

[[nodiscard]] inline std::string drain_row_key(std::string_view host)
{
    return std::string{drain_prefix} + std::string{host};
}

} // namespace coriander
