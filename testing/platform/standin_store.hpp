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

/// How the store treats its callers.
enum class store_mode { sound, busy, silent };

/// The platform's store of rows, in memory. Used on the loop's thread only.
class standin_store {
public:
    explicit standin_store(asio::io_context& loop) : loop{loop} {}

    /// Answers `rows-get`, `rows-feed` and `rows-tx`.
    void serve(const std::shared_ptr<caller_connection>& caller, const incoming_request& request);

    /// Writes a row as the platform itself does; nothing deletes it.
    void put(const std::string& table, const std::string& key, const std::optional<std::string>& value);

    void set_mode(store_mode changed);
    /// The answers of so many transactions get lost after they took effect.
    void lose_answers(unsigned count) { this->answers_to_lose = count; }
    /// Drops the history: whoever follows changes must read all again.
    void forget_history();

private:
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        std::string table;
        std::string key;
        std::uint64_t version = 0;
    };
    struct waiting_reader {
        std::weak_ptr<caller_connection> caller;
        std::string table;
        std::uint64_t after = 0;
        time_ms until;
    };

    void get(caller_connection& caller, const json_object& query);
    void feed(const std::shared_ptr<caller_connection>& caller, const json_object& query);
    void transact(caller_connection& caller, const json_object& transaction);
    [[nodiscard]] json_object changes_after(const std::string& table, std::uint64_t version) const;
    [[nodiscard]] json_object row_text(const std::string& table, const std::string& key) const;
    void answer(caller_connection& caller, int status, json_object body) const;
    void wake_readers();
    void watch_readers();

    asio::io_context& loop;
    asio::steady_timer reader_timer{loop};
    bool is_watching = false;
    monotonic_clock clock;
    store_mode mode = store_mode::sound;
    unsigned answers_to_lose = 0;
    std::map<std::string, std::map<std::string, stored_row>> tables;
    std::deque<change> history;
    std::uint64_t history_begins = 0;
    std::uint64_t version = 0;
    std::list<waiting_reader> readers;
    std::list<std::shared_ptr<caller_connection>> unanswered; ///< Asked while the store was silent.
};

/// The values of a URL's query by name, decoded.
[[nodiscard]] json_object query_of(const std::string& target);

} // namespace coriander::standin
