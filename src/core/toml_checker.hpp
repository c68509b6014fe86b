#pragma once

#include "coriander/finding.hpp"
#include "coriander/time_ms.hpp"

#include <toml++/toml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace coriander {

/// The allowed values of a number.
struct number_range {
    double low;
    double high;
};

/// Reads typed values from a TOML document and collects all faults with their positions.
///
/// A missing or invalid value is replaced by the default, so that one pass finds all faults. Not thread-safe.
class toml_checker {
public:
    explicit toml_checker(std::string_view file) : file{file} {}

    /// Parses a document; a syntax error becomes a finding and an empty table.
    [[nodiscard]] toml::table parse(std::string_view text);

    [[nodiscard]] std::string required_text(const toml::table& table, std::string_view key);
    [[nodiscard]] std::string optional_text(const toml::table& table, std::string_view key,
                                            std::string fallback);
    [[nodiscard]] std::int64_t integer(const toml::table& table, std::string_view key, std::int64_t fallback,
                                       number_range range);
    [[nodiscard]] double number(const toml::table& table, std::string_view key, double fallback,
                                number_range range);
    [[nodiscard]] bool boolean(const toml::table& table, std::string_view key, bool fallback);

    /// A duration such as "250ms", "2s" or "5m".
    [[nodiscard]] time_ms duration(const toml::table& table, std::string_view key, time_ms fallback,
                                   number_range range_ms);

    /// Reports every key that is not in `known`, and suggests the most similar known key.
    void reject_unknown(const toml::table& table, std::initializer_list<std::string_view> known);

    /// Calls `read` with each table of an array of tables.
    template <typename Read>
    void each_table(const toml::table& table, std::string_view key, Read read)
    {
        const auto* node = table.get(key);
        if (node == nullptr) {
            return;
        }
        const auto* array = node->as_array();
        if (array == nullptr) {
            this->report(*node, "'" + std::string{key} + "' must be written as [[" + std::string{key} + "]]");
            return;
        }
        for (const auto& item : *array) {
            if (const auto* entry = item.as_table()) {
                read(*entry);
            }
            else {
                this->report(item, "an entry of '" + std::string{key} + "' must be a table");
            }
        }
    }

    /// Adds a finding at the position of the node.
    void report(const toml::node& node, std::string message);

    /// Adds a finding at the position of a value, or of the table when the key is missing.
    void report(const toml::table& table, std::string_view key, std::string message);

    /// Moves out all findings so far.
    [[nodiscard]] findings take() { return std::move(this->faults); }

private:
    void check_range(const toml::node& node, std::string_view key, double value, number_range range);

    std::string file;
    findings faults;
};

/// Parses durations such as "250ms", "2s", "5m" or "1h"; no value for any other text.
[[nodiscard]] std::optional<time_ms> parse_duration(std::string_view text);

} // namespace coriander
