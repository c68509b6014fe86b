#include "core/json_text.hpp"

#include <limits>

namespace coriander {
namespace {

const json_object* find_member(const json_object& object, const char* name)
{
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

/// Whether the text opens more objects and arrays within each other than allowed. Does not recurse. The
/// result is exact for valid JSON.
bool is_nested_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    bool is_inside_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (is_inside_string) {
            i += letter == '\\' ? 1 : 0; // Skips the escaped character.
            is_inside_string = letter != '"';
        }
        else if (letter == '"') {
            is_inside_string = true;
        }
        else if (letter == '[' || letter == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        }
        else if ((letter == ']' || letter == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

std::optional<json_object> parse_object(std::string_view text)
{
    if (is_nested_too_deeply(text)) {
        return std::nullopt;
    }
    auto parsed = json_object::parse(text, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

std::string to_text(const json_object& object)
{
    return object.dump(-1, ' ', false, json_object::error_handler_t::replace);
}

std::string text_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    return member != nullptr && member->is_string() ? member->get<std::string>() : std::string{};
}

std::int64_t integer_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    if (member == nullptr || !member->is_number_integer()) {
        return 0;
    }
    const bool is_too_large =
        member->is_number_unsigned() &&
        member->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return is_too_large ? 0 : member->get<std::int64_t>();
}

std::optional<std::uint64_t> unsigned_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    if (member == nullptr || !member->is_number_unsigned() ||
        member->get<std::uint64_t>() > max_json_integer) {
        return std::nullopt;
    }
    return member->get<std::uint64_t>();
}

bool has_odd_unsigned(const json_object& object, const char* name)
{
    return find_member(object, name) != nullptr && !unsigned_member(object, name);
}

double number_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    return member != nullptr && member->is_number() ? member->get<double>() : 0.0;
}

bool bool_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    return member != nullptr && member->is_boolean() && member->get<bool>();
}

std::optional<json_object> object_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    if (member == nullptr || !member->is_object()) {
        return std::nullopt;
    }
    return *member;
}

std::vector<json_object> array_member(const json_object& object, const char* name)
{
    const auto* member = find_member(object, name);
    if (member == nullptr || !member->is_array()) {
        return {};
    }
    return member->get<std::vector<json_object>>();
}

} // namespace coriander
