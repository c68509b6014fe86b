// The order in which a follower learns of a row's states, whatever brings them.
#include "table_follower.hpp"

#include "support/event_loop.hpp"
#include "support/history_store.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander::platform {
namespace {

/// Longer than any test: the store is polled on request only.
constexpr time_ms long_interval = 3600_s;

struct sent_delta {
    std::size_t sender = 0;
    table_delta delta;
};

/// A daemon that follows the table, and what it was told of each row.
class following_daemon {
public:
    following_daemon(event_loop& loop, const history_store& store, const table_follower_settings& settings)
        : path{loop.context(), store}, calls{loop.context()}, client{this->calls, this->path.address()},
          follower{loop.context(), this->client, settings,
                   [this](const changed_row& changed) { this->on_row(changed); }, [] {}}
    {
    }

    [[nodiscard]] std::optional<std::string> value(const std::string& key) const
    {
        const auto found = this->told.find(key);
        return found == this->told.end() ? std::nullopt : found->second.value;
    }

    [[nodiscard]] std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> found;
        for (const auto& [key, row] : this->told) {
            if (row.value) {
                found[key] = *row.value;
            }
        }
        return found;
    }

    store_path path;
    http_call_runner calls;
    row_client client;
    std::vector<std::string> steps_back; ///< Rows that were replaced by an older state of the same era.
    std::map<std::string, changed_row> told;
    table_follower follower;

private:
    void on_row(const changed_row& changed)
    {
        const auto known = this->told.find(changed.key);
        if (known != this->told.end() && changed.version < known->second.version) {
            this->steps_back.push_back(changed.key + " from " + std::to_string(known->second.version.number) +
                                       " to " + std::to_string(changed.version.number));
        }
        this->told.insert_or_assign(changed.key, changed);
    }
};

/// Daemons that share the reading of one table.
class shared_reading {
public:
    explicit shared_reading(std::vector<bool> readers,
                            table_follower_settings settings = {"t", {}, long_interval, {}, long_interval})
    {
        settings.table = "t";
        for (std::size_t i = 0; i < readers.size(); ++i) {
            auto& added = *this->daemons.emplace_back(
                std::make_unique<following_daemon>(this->loop, this->store, settings));
            added.follower.set_sharing({[is_reader = bool{readers[i]}] { return is_reader; },
                                        [this, i](const table_delta& delta) {
                                            this->check(delta);
                                            this->deltas.push_back({i, delta});
                                        }});
        }
    }

    /// Starts all daemons, whose first snapshots must not be late.
    void start()
    {
        for (auto& one : this->daemons) {
            one->follower.start();
        }
        this->settle();
    }

    /// Runs until nothing is under way but late answers and deltas.
    void settle()
    {
        do {
            this->loop.context().restart();
        } while (this->loop.context().poll() > 0);
    }

    void poll(std::size_t daemon)
    {
        this->daemons[daemon]->follower.poll_now();
        this->settle();
    }

    void deliver_late_answer(std::size_t daemon)
    {
        this->daemons[daemon]->path.deliver_late_answer();
        this->settle();
    }

    /// Passes the delta to the other daemons.
    void deliver_delta(std::size_t index)
    {
        const auto sent = std::move(this->deltas[index]);
        this->deltas.erase(this->deltas.begin() + static_cast<std::ptrdiff_t>(index));
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            if (i != sent.sender) {
                this->daemons[i]->follower.apply_news(sent.delta);
            }
        }
        this->settle();
    }

    event_loop loop;
    history_store store;
    std::deque<sent_delta> deltas;
    std::vector<std::string> false_claims; ///< Deltas that lack changes between their versions.
    std::vector<std::unique_ptr<following_daemon>> daemons;

private:
    void check(const table_delta& delta)
    {
        for (const auto& [key, change] : this->store.changes_between(delta.from, delta.to)) {
            const auto is_same = [&, &change = change](const changed_row& row) {
                return row.key == change.key && row.version == change.version;
            };
            if (std::none_of(delta.rows.begin(), delta.rows.end(), is_same)) {
                this->false_claims.push_back(key + " at " + std::to_string(change.version.number));
            }
        }
    }
};

} // namespace

// Guards against rows that a gateway misses until they change again: it takes them for known.
TEST_CASE("row order: a delta claims no more than its answer contains, whatever its reader has learned since")
{
    shared_reading shared{{true, true, false}};
    shared.store.put("a", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    auto& other = *shared.daemons[2];
    shared.store.put("a", "2");
    late.path.is_slow = true;
    shared.poll(0);
    shared.store.put("b", "1");
    shared.poll(1);
    late.follower.apply_news(shared.deltas.front().delta);
    shared.deltas.clear();
    shared.deliver_late_answer(0);
    REQUIRE(shared.deltas.size() == 1);
    CHECK(shared.false_claims.empty());
    other.follower.apply_news(shared.deltas.front().delta);
    shared.poll(2);
    CHECK(other.value("b") == "1");
}

} // namespace coriander::platform
