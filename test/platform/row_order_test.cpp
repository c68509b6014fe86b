// The order in which a follower learns of a row's states, whatever brings them.
#include "table_follower.hpp"

#include "support/event_loop.hpp"
#include "support/history_store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander::platform {
namespace {

/// Longer than any test: the store is polled on request only.
constexpr time_ms long_interval = 3600_s;

std::map<std::string, std::string> values_of(const std::map<std::string, changed_row>& rows)
{
    std::map<std::string, std::string> values;
    for (const auto& [key, row] : rows) {
        if (row.value) {
            values[key] = *row.value;
        }
    }
    return values;
}

struct sent_delta {
    std::size_t sender = 0;
    table_delta delta;
};

/// A daemon that follows the table, and the last state of each row that it passed on.
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
        const auto found = this->received.find(key);
        return found == this->received.end() ? std::nullopt : found->second.value;
    }

    [[nodiscard]] std::map<std::string, std::string> values() const { return values_of(this->received); }

    store_path path;
    http_call_runner calls;
    row_client client;
    std::vector<std::string> steps_back; ///< Rows that were replaced by an older state of the same era.
    std::map<std::string, changed_row> received;
    table_follower follower;

private:
    void on_row(const changed_row& changed)
    {
        const auto known = this->received.find(changed.key);
        if (known != this->received.end() && changed.version < known->second.version) {
            this->steps_back.push_back(changed.key + " from " + std::to_string(known->second.version.number) +
                                       " to " + std::to_string(changed.version.number));
        }
        this->received.insert_or_assign(changed.key, changed);
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

/// Steps that any daemon, the store and the network may take.
void take_step(shared_reading& shared)
{
    const auto key = std::string(1, *rc::gen::inRange('a', 'f'));
    const auto size = *rc::gen::inRange<std::size_t>(0, 8);
    const auto one = *rc::gen::inRange<std::size_t>(0, shared.daemons.size());
    auto& path = shared.daemons[one]->path;
    switch (*rc::gen::inRange(0, 16)) {
    case 0:
    case 1:
    case 2:
        shared.store.put(key, std::to_string(shared.store.latest().number + 1));
        break;
    case 3:
    case 4:
        shared.store.put(key, std::nullopt);
        break;
    case 5:
    case 6:
    case 7:
        shared.poll(one);
        break;
    case 8:
    case 9:
        if (!shared.deltas.empty()) {
            shared.deliver_delta(size % shared.deltas.size());
        }
        break;
    case 10:
    case 11:
        path.is_slow = !path.is_slow;
        break;
    case 12:
    case 13:
        shared.deliver_late_answer(one);
        break;
    case 14:
        path.is_cut = size == 0;
        break;
    default:
        if (size == 0) {
            shared.store.restore(*rc::gen::inRange<std::size_t>(0, 6));
        }
        else if (size == 1) {
            shared.store.drop_history();
        }
    }
}

/// Ends all faults and delivers all that is under way.
void catch_up(shared_reading& shared)
{
    for (std::size_t i = 0; i < shared.daemons.size(); ++i) {
        auto& path = shared.daemons[i]->path;
        path.is_cut = false;
        path.is_slow = false;
        while (path.has_late_answer()) {
            shared.deliver_late_answer(i);
        }
    }
    while (!shared.deltas.empty()) {
        shared.deliver_delta(0);
    }
    for (std::size_t i = 0; i < shared.daemons.size(); ++i) {
        shared.poll(i);
        shared.poll(i);
    }
}

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

// Guards against a target that has left being used again until its end.
TEST_CASE("row order: an answer that a peer's delta has overtaken does not bring back a deleted row")
{
    shared_reading shared{{false, true}};
    shared.store.put("a", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    shared.store.put("a", "2");
    late.path.is_slow = true;
    shared.poll(0);
    shared.store.put("a", std::nullopt);
    shared.poll(1);
    shared.deliver_delta(0);
    REQUIRE_FALSE(late.value("a"));
    shared.deliver_late_answer(0);
    CHECK_FALSE(late.value("a"));
    CHECK(late.steps_back.empty());
}

// Guards against a live target that is not used any more.
TEST_CASE(
    "row order: an answer that a peer's delta has overtaken does not delete a row that was written again")
{
    shared_reading shared{{false, true}};
    shared.store.put("a", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    shared.store.put("a", std::nullopt);
    late.path.is_slow = true;
    shared.poll(0);
    shared.store.put("a", "2");
    shared.poll(1);
    shared.deliver_delta(0);
    REQUIRE(late.value("a") == "2");
    shared.deliver_late_answer(0);
    CHECK(late.value("a") == "2");
}

// Guards against a gateway that uses hosts' older entries, or none, after it has read the table anew.
TEST_CASE("row order: a page of rows that a peer's deltas have overtaken changes nothing")
{
    shared_reading shared{{false, true}};
    shared.store.put("a", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    shared.store.put("a", "2");
    shared.poll(1);
    shared.store.drop_history();
    late.path.is_slow = true;
    shared.poll(0);
    shared.deliver_late_answer(0); // The history is gone, so that the rows are read.
    shared.deliver_delta(0);
    shared.store.put("a", "3");
    shared.store.put("b", "1");
    shared.poll(1);
    shared.deliver_delta(0);
    REQUIRE(late.values() == std::map<std::string, std::string>{{"a", "3"}, {"b", "1"}});
    shared.deliver_late_answer(0);
    CHECK(late.values() == std::map<std::string, std::string>{{"a", "3"}, {"b", "1"}});
}

// Guards against a live host that is not used until its entry changes: its row was written while pages were
// read.
TEST_CASE("row order: a row that is written behind the page being read is kept when the last page has come")
{
    shared_reading shared{{false, true}};
    shared.store.page_size = 1;
    shared.store.put("b", "1");
    shared.store.put("c", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    shared.store.put("c", "2");
    shared.poll(1);
    shared.store.drop_history();
    late.path.is_slow = true;
    shared.poll(0);
    shared.deliver_late_answer(0);
    shared.deliver_late_answer(0); // The page with b; the one with c is under way.
    shared.deliver_delta(0);
    shared.store.put("a", "3");
    shared.poll(1);
    shared.deliver_delta(0);
    REQUIRE(late.value("a") == "3");
    shared.deliver_late_answer(0);
    CHECK(late.value("a") == "3");
}

// Guards against a target that has left in the grace period being used until its end.
TEST_CASE("row order: an answer that a peer's delta has overtaken does not take back a deferred deletion")
{
    shared_reading shared{{false, true}, {"t", {}, 50_ms, 300_ms, {}}};
    shared.store.put("a", "1");
    shared.start();
    auto& late = *shared.daemons[0];
    auto& reader = *shared.daemons[1];
    late.path.is_cut = reader.path.is_cut = true;
    const monotonic_clock clock;
    const auto cut_at = clock.now();
    REQUIRE(shared.loop.run_until([&] { return clock.now() - cut_at > 200_ms; }));
    shared.store.put("a", "2");
    late.path.is_cut = false;
    late.path.is_slow = true;
    REQUIRE(shared.loop.run_until([&] { return late.path.has_late_answer(); }));
    shared.store.put("a", std::nullopt);
    shared.deltas.clear();
    reader.path.is_cut = false;
    REQUIRE(shared.loop.run_until([&] { return !shared.deltas.empty(); }));
    late.follower.apply_news(shared.deltas.front().delta);
    REQUIRE(late.value("a"));
    late.path.is_slow = false;
    while (late.path.has_late_answer()) {
        late.path.deliver_late_answer();
    }
    CHECK(shared.loop.run_until([&] { return !late.value("a"); }));
}

// Guards against writes of a daemon's own row that can't succeed.
TEST_CASE("row order: an answer from before a daemon's own write does not undo it")
{
    shared_reading shared{{false}};
    shared.store.put("own", "1");
    shared.start();
    auto& writer = *shared.daemons[0];
    shared.store.put("own", "2");
    writer.path.is_slow = true;
    shared.poll(0);
    shared.store.put("own", "3");
    writer.follower.apply_own_write({"own", "3", shared.store.latest()});
    REQUIRE(writer.value("own") == "3");
    shared.deliver_late_answer(0);
    CHECK(writer.value("own") == "3");
}

// Guards against a gateway without contact to the store that uses a target again which has left.
TEST_CASE("row order: deltas of a newer era that overtake each other, while the store is out of reach")
{
    shared_reading shared{{false, true}};
    shared.store.put("a", "1");
    shared.start();
    auto& cut = *shared.daemons[0];
    cut.path.is_cut = true;
    shared.poll(0);
    REQUIRE(cut.follower.is_failing());
    shared.store.restore(0);
    shared.poll(1);
    shared.store.put("a", "2");
    shared.poll(1);
    shared.store.put("a", std::nullopt);
    shared.poll(1);
    REQUIRE(shared.deltas.size() == 2);
    shared.deliver_delta(1);
    REQUIRE_FALSE(cut.value("a"));
    shared.deliver_delta(0);
    CHECK_FALSE(cut.value("a"));
}

TEST_CASE("row order: no row goes back within an era, and in the end all daemons have the store's rows")
{
    rc::prop("two daemons that read and one that does not", [] {
        shared_reading shared{{true, true, false}};
        shared.store.put("a", "1");
        shared.start();
        const auto steps = *rc::gen::inRange(1, 100);
        for (int i = 0; i < steps; ++i) {
            take_step(shared);
            for (const auto& one : shared.daemons) {
                RC_ASSERT(one->steps_back == std::vector<std::string>{});
            }
            RC_ASSERT(shared.false_claims == std::vector<std::string>{});
        }
        catch_up(shared);
        for (const auto& one : shared.daemons) {
            RC_ASSERT(one->steps_back == std::vector<std::string>{});
            RC_ASSERT(one->values() == values_of(shared.store.rows()));
        }
    });
}

} // namespace coriander::platform
