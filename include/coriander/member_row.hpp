#pragma once

#include "coriander/membership.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// The row that a router writes about itself. It acknowledges that the configuration with this number, or a
/// later one, is in force on that router.
struct member_row {
    member_identity identity;
    std::uint64_t config_number = 0;
    bool stopping = false;
    std::uint64_t renewals = 0; ///< Changes the row with every renewal.
};

constexpr std::string_view member_prefix = "members/";

/// Rows that hold the HTTP address of each controller, as plain text.
constexpr std::string_view controller_prefix = "controllers/";

[[nodiscard]] inline std::string controller_row_key(std::string_view name)
{
    return std::string{controller_prefix} + std::string{name};
}

[[nodiscard]] std::string member_row_key(std::string_view name);
[[nodiscard]] std::string encode_member(const member_row& row);
[[nodiscard]] std::optional<member_row> decode_member(const std::string& text);

} // namespace coriander
