#pragma once

#include <string>
#include <string_view>

namespace coriander {

/// Prefix of the keys of drain rows. The row of a host exists while an operator wants the host drained.
constexpr std::string_view drain_prefix = "drains/";

[[nodiscard]] inline std::string drain_row_key(std::string_view host)
{
    return std::string{drain_prefix} + std::string{host};
}

} // namespace coriander
