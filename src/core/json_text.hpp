#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

using json_object = nlohmann::json;

/// The deepest nesting of objects and arrays that is parsed. Copying a value and writing it recurse.
constexpr std::size_t max_json_depth = 64;

/// Parses a JSON object; no value when the text is anything else or nested deeper than `max_json_depth`.
[[nodiscard]] std::optional<json_object> parse_object(std::string_view text);

/// Compact JSON. Invalid UTF-8 is replaced rather than rejected.
[[nodiscard]] std::string to_text(const json_object& object);

/// The largest integer that every JSON reader represents exactly (RFC 8259).
constexpr std::uint64_t max_json_integer = 1ULL << 53U;

/// Members by type. A missing member, or one of another type or out of the type's range, yields an empty
/// value, zero or false.
[[nodiscard]] std::string text_member(const json_object& object, const char* name);
[[nodiscard]] std::int64_t integer_member(const json_object& object, const char* name);
/// A non-negative integer up to `max_json_integer`.
[[nodiscard]] std::optional<std::uint64_t> unsigned_member(const json_object& object, const char* name);
/// Whether the member exists, but `unsigned_member` has no value for it.
[[nodiscard]] bool has_odd_unsigned(const json_object& object, const char* name);
[[nodiscard]] double number_member(const json_object& object, const char* name);
[[nodiscard]] bool bool_member(const json_object& object, const char* name);
[[nodiscard]] std::optional<json_object> object_member(const json_object& object, const char* name);
[[nodiscard]] std::vector<json_object> array_member(const json_object& object, const char* name);

} // namespace coriander
