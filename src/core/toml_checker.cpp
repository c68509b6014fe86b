#include "core/toml_checker.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace coriander {
namespace {

std::string quoted(std::string_view text)
{
    return "'" + std::string{text} + "'";
}

std::string format_number(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

/// The Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

std::string suggestion(std::string_view key, std::initializer_list<std::string_view> known)
{
    constexpr std::size_t max_distance = 3;
    const auto* nearest = std::min_element(known.begin(), known.end(), [key](auto a, auto b) {
        return edit_distance(key, a) < edit_distance(key, b);
    });
    const bool is_near = nearest != known.end() && edit_distance(key, *nearest) <= max_distance;
    return is_near ? "; did you mean " + quoted(*nearest) + "?" : "";
}

} // namespace

std::optional<time_ms> parse_duration(std::string_view text)
{
    std::int64_t count = 0;
    const auto* end = text.data() + text.size();
    const auto [unit_begin, ec] = std::from_chars(text.data(), end, count);
    constexpr std::int64_t largest_count = 1'000'000'000;
    if (ec != std::errc{} || count < 0 || count > largest_count) {
        return std::nullopt;
    }
    const std::string_view unit{unit_begin, static_cast<std::size_t>(end - unit_begin)};
    if (unit == "ms") {
        return time_ms{count};
    }
    if (unit == "s") {
        return time_ms{count * 1000};
    }
    if (unit == "m") {
        return time_ms{count * 60'000};
    }
    if (unit == "h") {
        return time_ms{count * 3'600'000};
    }
    return std::nullopt;
}

toml::table toml_checker::parse(std::string_view text)
{
    try {
        return toml::parse(text, this->file);
    }
    catch (const toml::parse_error& exception) {
        const auto position = exception.source().begin;
        this->faults.push_back(
            {this->file, position.line, position.column, std::string{exception.description()}});
        return {};
    }
}

void toml_checker::report(const toml::node& node, std::string message)
{
    const auto position = node.source().begin;
    this->faults.push_back({this->file, position.line, position.column, std::move(message)});
}

void toml_checker::report(const toml::table& table, std::string_view key, std::string message)
{
    const auto* node = table.get(key);
    this->report(node != nullptr ? *node : static_cast<const toml::node&>(table), std::move(message));
}

std::string toml_checker::required_text(const toml::table& table, std::string_view key)
{
    if (table.get(key) == nullptr) {
        this->report(table, quoted(key) + " is missing");
        return {};
    }
    auto text = this->optional_text(table, key, {});
    if (table.get(key)->is_string() && text.empty()) {
        this->report(table, key, quoted(key) + " must not be empty");
    }
    return text;
}

std::string toml_checker::optional_text(const toml::table& table, std::string_view key, std::string fallback)
{
    const auto* node = table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    if (const auto* text = node->as_string()) {
        return text->get();
    }
    this->report(*node, quoted(key) + " must be a string in quotes");
    return fallback;
}

void toml_checker::check_range(const toml::node& node, std::string_view key, double value, number_range range)
{
    if (value < range.low || value > range.high) {
        this->report(node, quoted(key) + " is " + format_number(value) + ", but must be from " +
                               format_number(range.low) + " to " + format_number(range.high));
    }
}

std::int64_t toml_checker::integer(const toml::table& table, std::string_view key, std::int64_t fallback,
                                   number_range range)
{
    const auto* node = table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto* value = node->as_integer();
    if (value == nullptr) {
        this->report(*node, quoted(key) + " must be an integer");
        return fallback;
    }
    this->check_range(*node, key, static_cast<double>(value->get()), range);
    return value->get();
}

double toml_checker::number(const toml::table& table, std::string_view key, double fallback,
                            number_range range)
{
    const auto* node = table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!node->is_number() || !value) {
        this->report(*node, quoted(key) + " must be a number");
        return fallback;
    }
    this->check_range(*node, key, *value, range);
    return *value;
}

bool toml_checker::boolean(const toml::table& table, std::string_view key, bool fallback)
{
    const auto* node = table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    if (const auto* value = node->as_boolean()) {
        return value->get();
    }
    this->report(*node, quoted(key) + " must be true or false");
    return fallback;
}

time_ms toml_checker::duration(const toml::table& table, std::string_view key, time_ms fallback,
                               number_range range_ms)
{
    const auto* node = table.get(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto* text = node->as_string();
    const auto value = text != nullptr ? parse_duration(text->get()) : std::nullopt;
    if (!value) {
        this->report(*node, quoted(key) + " must be a duration with its unit, such as \"250ms\" or \"2s\"");
        return fallback;
    }
    if (value->seconds() * 1000.0 < range_ms.low || value->seconds() * 1000.0 > range_ms.high) {
        this->report(*node, quoted(key) + " is " + std::to_string(value->count()) + "ms, but must be from " +
                                format_number(range_ms.low) + "ms to " + format_number(range_ms.high) + "ms");
    }
    return *value;
}

void toml_checker::reject_unknown(const toml::table& table, std::initializer_list<std::string_view> known)
{
    for (const auto& [key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
            const auto position = key.source().begin;
            this->faults.push_back({this->file, position.line, position.column,
                                    "unknown key " + quoted(key.str()) + suggestion(key.str(), known)});
        }
    }
}

} // namespace coriander
