#pragma once

#include "core/json_text.hpp"
#include "coriander/clock.hpp"
#include "net/caller_connection.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coriander::standin {

/// How the store responds: normally (`sound`), with status 503 (`busy`) or not at all (`silent`).
enum class store_mode { sound, busy, silent };

/// An in-memory stand-in for the platform's store. Not thread-safe: used on the event loop's thread only.
class standin_store {
public:
    explicit standin_store(asio::io_context& loop) : loop{loop} {}

    /// Handles `rows-get`, `rows-feed` and `rows-tx`.
    void serve(const std::shared_ptr<caller_connection>& caller, const incoming_request& request);

    /// Writes a row unconditionally, as the platform itself does; without a value, deletes it.
    void put(const std::string& table, const std::string& key, const std::optional<std::string>& value);

    void set_mode(store_mode mode);
    /// Drops the responses to the next `count` transactions after applying them.
    void drop_responses(unsigned count) { this->responses_to_drop = count; }
    /// Drops the history of changes, so that followers have to read a snapshot.
    void drop_history();
    /// Goes back to the state at `version` and begins a new era; later versions are given out again. Goes
    /// back as far as the history of changes reaches. Long polls are cut.
    void restore(std::uint64_t version);
    /// The same for the state as it was `age` ago.
    void restore_copy(time_ms age);

    [[nodiscard]] std::uint64_t latest_version() const noexcept { return this->version; }
    /// The values of a table's rows, by key.
    [[nodiscard]] std::map<std::string, std::string> values(const std::string& table) const;

private:
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        std::string table;
        std::string key;
        std::uint64_t version = 0;
        time_ms at;
        std::optional<stored_row> before; ///< The row that it replaced.
    };
    struct long_poll {
        std::weak_ptr<caller_connection> caller;
        std::string table;
        std::uint64_t after = 0;
        time_ms deadline;
    };

    void get(caller_connection& caller, const json_object& query);
    void feed(const std::shared_ptr<caller_connection>& caller, const json_object& query);
    void transact(caller_connection& caller, const json_object& transaction);
    [[nodiscard]] json_object changes_after(const std::string& table, std::uint64_t version) const;
    [[nodiscard]] json_object encode_row(const std::string& table, const std::string& key) const;
    [[nodiscard]] http_header era_header() const;
    void respond(caller_connection& caller, int status, json_object body) const;
    void complete_long_polls();
    void watch_long_polls();

    asio::io_context& loop;
    asio::steady_timer long_poll_timer{loop};
    bool is_watching = false;
    monotonic_clock clock;
    store_mode mode = store_mode::sound;
    unsigned responses_to_drop = 0;
    std::map<std::string, std::map<std::string, stored_row>> tables;
    std::deque<change> history;
    std::uint64_t history_start = 0;
    std::uint64_t version = 0;
    std::uint64_t era = 1;
    std::list<long_poll> long_polls;
    std::list<std::shared_ptr<caller_connection>> unanswered; ///< Received while the store was silent.
};

/// The decoded parameters of a URL's query, by name.
[[nodiscard]] json_object parse_query(const std::string& target);

} // namespace coriander::standin
