#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// The row that holds the newest configuration. Its number only increases.
struct config_record {
    std::uint64_t number = 0;
    std::string author;
    std::string token;   ///< Unique for each apply, to recognise one whose response was lost.
    time_ms proposed_at; ///< Wall clock.
    std::string toml;
};

constexpr std::string_view config_row_key = "config/current";
constexpr std::string_view accepted_row_key = "config/accepted";

[[nodiscard]] std::string encode_config(const config_record& record);
[[nodiscard]] std::optional<config_record> decode_config(const std::string& text);

} // namespace coriander
