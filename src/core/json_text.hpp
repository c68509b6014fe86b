#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

using json_object = nlohmann::json;

/// Parses an object; nothing when the text is anything else.
[[nodiscard]] std::optional<json_object> parse_object(std::string_view text);

/// Compact JSON. Bytes that are not UTF-8 are replaced rather than refused.
[[nodiscard]] std::string to_text(const json_object& object);

/// Members by type; a missing member or one of another type gives the empty value.
[[nodiscard]] std::string text_member(const json_object& object, const char* name);
[[nodiscard]] std::int64_t integer_member(const json_object& object, const char* name);
[[nodiscard]] double number_member(const json_object& object, const char* name);
[[nodiscard]] bool bool_member(const json_object& object, const char* name);
[[nodiscard]] std::optional<json_object> object_member(const json_object& object, const char* name);
[[nodiscard]] std::vector<json_object> array_member(const json_object& object, const char* name);

} // namespace coriander
