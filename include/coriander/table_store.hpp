#pragma once

#include "coriander/error.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A row of the platform's table. `version` increases with every write of the row; 0 means that it does not
/// exist.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// One conditional write: takes effect only while the row has `expected_version`.
struct table_write {
    std::string key;
    std::uint64_t expected_version = 0;
    std::optional<std::string> value; ///< No value: delete the row.
};

/// How a transaction ended.
enum class commit_state {
    applied,     ///< All writes took effect.
    conflict,    ///< None took effect: a row had another version.
    not_applied, ///< None took effect and none will: the request was not sent.
    unknown,     ///< No response arrived; the writes may still take effect later.
};

/// The outcome of a transaction. On a conflict, `current` holds the rows whose version differed.
struct commit_outcome {
    commit_state state = commit_state::unknown;
    std::vector<table_row> current;
    std::uint64_t version = 0; ///< On `applied`: the new version of all written rows.
};

/// The platform's transactional table.
///
/// `commit` applies all writes or none. `read` returns no row when the key is absent.
template <typename T>
concept table_store = requires(T& table, std::string_view key, std::string_view prefix,
                               std::span<const table_write> writes)
{
    {
        table.read(key)
        } -> std::same_as<result<std::optional<table_row>>>;
    {
        table.scan(prefix)
        } -> std::same_as<result<std::vector<table_row>>>;
    {
        table.commit(writes)
        } -> std::same_as<commit_outcome>;
};

} // namespace coriander
