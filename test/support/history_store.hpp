#pragma once

#include "coriander/table_delta.hpp"
#include "platform/standin_store.hpp"
#include "support/scripted_server.hpp"
#include "support/scripted_store.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander::platform {

/// A store with one table that keeps its whole history, of every era, as the model of what followers may
/// know.
class history_store {
public:
    /// Rows of a page.
    std::size_t page_size = 2;

    /// Writes a row, or deletes it if there is no value. The deletion of a missing row changes nothing.
    void put(const std::string& key, const std::optional<std::string>& value)
    {
        if (value || this->rows().contains(key)) {
            this->history().push_back({key, value, {this->era, this->latest().number + 1}});
        }
    }

    /// Takes the last `count` changes back and begins a new era.
    void restore(std::size_t count)
    {
        auto copy = this->history();
        copy.resize(copy.size() - std::min(count, copy.size()));
        ++this->era;
        for (auto& change : copy) {
            change.version.era = this->era;
        }
        this->histories[this->era] = std::move(copy);
        this->oldest_feed = 0;
    }

    /// Drops the changes so far from the feed, so that followers have to read the rows anew.
    void drop_history() { this->oldest_feed = this->latest().number; }

    /// The latest version of the table.
    [[nodiscard]] row_version latest() const
    {
        const auto& changes = this->histories.at(this->era);
        return changes.empty() ? row_version{this->era, 0} : changes.back().version;
    }

    [[nodiscard]] std::map<std::string, changed_row> rows() const
    {
        auto found = this->changes_between({}, this->latest());
        std::erase_if(found, [](const auto& entry) { return !entry.second.value; });
        return found;
    }

    /// The last change of each row after `from`, up to and including `to`.
    [[nodiscard]] std::map<std::string, changed_row> changes_between(row_version from, row_version to) const
    {
        std::map<std::string, changed_row> found;
        for (const auto& change : this->histories.at(to.era)) {
            if (change.version > from && change.version <= to) {
                found.insert_or_assign(change.key, change);
            }
        }
        return found;
    }

    /// Answers a request for a page of rows or for changes as of now.
    [[nodiscard]] std::string answer_to(const std::string& request) const
    {
        const auto target =
            request.substr(request.find(' ') + 1, request.find(" HTTP/") - request.find(' ') - 1);
        const auto query = standin::parse_query(target);
        return in_era(static_cast<int>(this->era),
                      target.starts_with("/rows-get") ? this->page_from(query) : this->feed_after(query));
    }

private:
    static std::string encode(const changed_row& change)
    {
        const auto version = static_cast<int>(change.version.number);
        return change.value ? row(change.key, *change.value, version)
                            : R"({"key":")" + change.key + R"(","ver":)" + std::to_string(version) +
                                  R"(,"deleted":true})";
    }

    static void append(std::string& list, const changed_row& change)
    {
        list += (list.empty() ? "" : ",") + encode(change);
    }

    [[nodiscard]] std::vector<changed_row>& history() { return this->histories[this->era]; }

    [[nodiscard]] std::string page_from(const json_object& query) const
    {
        const auto rows = this->rows();
        const auto first = rows.lower_bound(text_member(query, "from"));
        const auto left = static_cast<std::size_t>(std::distance(first, rows.end()));
        const auto last = std::next(first, static_cast<std::ptrdiff_t>(std::min(left, this->page_size)));
        std::string list;
        std::for_each(first, last, [&](const auto& entry) { append(list, entry.second); });
        return page(list, static_cast<int>(this->latest().number), last != rows.end());
    }

    [[nodiscard]] std::string feed_after(const json_object& query) const
    {
        const auto after = std::stoull("0" + text_member(query, "after"));
        if (after < this->oldest_feed || after > this->latest().number) {
            return answer(410, "");
        }
        std::string list;
        for (const auto& change : this->histories.at(this->era)) {
            if (change.version.number > after) {
                append(list, change);
            }
        }
        return page(list, static_cast<int>(this->latest().number));
    }

    std::uint64_t era = 1;
    std::uint64_t oldest_feed = 0;
    std::map<std::uint64_t, std::vector<changed_row>> histories{{1, {}}};
};

/// One daemon's path to the store, on which answers can be late or lost.
class store_path {
public:
    store_path(asio::io_context& loop, const history_store& store)
        : server{loop, [this, &store](tcp_link& link, const std::string& request) {
                     if (this->is_cut) {
                         link.close();
                     }
                     else if (this->is_slow) {
                         this->late.emplace_back(&link, store.answer_to(request));
                     }
                     else {
                         link.write(store.answer_to(request));
                     }
                 }}
    {
    }

    /// Delivers the oldest late answer, if there is one.
    void deliver_late_answer()
    {
        if (!this->late.empty()) {
            const auto [link, text] = std::move(this->late.front());
            this->late.pop_front();
            link->write(text);
        }
    }
    [[nodiscard]] bool has_late_answer() const noexcept { return !this->late.empty(); }
    [[nodiscard]] std::string address() const { return this->server.address(); }

    bool is_cut = false;
    bool is_slow = false; ///< Answers are as of their request and wait for `deliver_late_answer`.

private:
    std::deque<std::pair<tcp_link*, std::string>> late;
    scripted_server server;
};

} // namespace coriander::platform
