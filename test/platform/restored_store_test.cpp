#include "platform/standin_store.hpp"
#include "table_follower.hpp"

#include "net/http_listener.hpp"
#include "support/event_loop.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriander::platform {
namespace {

constexpr const char* table_name = "t";
/// Longer than any test: the store is polled on request only.
constexpr time_ms long_interval = 3600_s;

/// A store that is reached over HTTP and can lose answers.
struct served_store {
    explicit served_store(event_loop& loop) : store{loop.context()}
    {
        connection_handlers handlers{
            [this](const std::shared_ptr<caller_connection>& caller, const incoming_request& request) {
                ++this->served;
                if (std::exchange(this->loses_answer, false)) {
                    caller->abort();
                    return;
                }
                this->store.serve(caller, request);
            },
            [] { return connection_limits{}; }, [] { return false; }};
        this->listener = std::make_shared<http_listener>(
            loop.context(), asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0},
            std::move(handlers));
        this->listener->start();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->listener->port());
    }

    standin::standin_store store;
    std::shared_ptr<http_listener> listener;
    bool loses_answer = false;
    unsigned served = 0;
};

/// A daemon that follows the table and keeps its rows.
struct following_daemon {
    following_daemon(event_loop& loop, const served_store& store, bool is_reader,
                     std::deque<table_delta>& published)
        : calls{loop.context()}, client{this->calls, store.address()},
          follower{loop.context(),
                   this->client,
                   {table_name, {}, long_interval, {}, long_interval},
                   [this](const changed_row& changed) {
                       if (changed.value) {
                           this->rows[changed.key] = *changed.value;
                       }
                       else {
                           this->rows.erase(changed.key);
                       }
                   },
                   [this] { ++this->batches; }}
    {
        this->follower.set_sharing({[is_reader] { return is_reader; },
                                    [&published](const table_delta& delta) { published.push_back(delta); }});
        this->follower.start();
    }

    http_call_runner calls;
    row_client client;
    std::map<std::string, std::string> rows;
    unsigned batches = 0; ///< Answers and deltas that were handled completely.
    table_follower follower;
};

/// Two daemons that share the reading of one table.
struct shared_table {
    shared_table()
    {
        for (auto& one : this->daemons) {
            REQUIRE(this->loop.run_until([&] { return one.follower.has_synced(); }));
        }
    }

    /// Polls until an answer has been handled or has been lost.
    void poll(following_daemon& one)
    {
        const auto batches = one.batches;
        const auto served = this->store.served;
        const bool is_lost = this->store.loses_answer;
        one.follower.poll_now();
        REQUIRE(this->loop.run_until([&] {
            return one.batches > batches ||
                   (is_lost && this->store.served > served && one.follower.is_failing());
        }));
    }

    /// Passes a published delta to the daemon that doesn't read; deltas may overtake each other.
    void deliver(std::size_t index)
    {
        if (!this->deltas.empty()) {
            const auto chosen =
                this->deltas.begin() + static_cast<std::ptrdiff_t>(index % this->deltas.size());
            this->daemons[1].follower.apply_news(*chosen);
            this->deltas.erase(chosen);
        }
    }

    void act()
    {
        const auto key = std::string(1, *rc::gen::inRange('a', 'e'));
        const auto size = *rc::gen::inRange<std::size_t>(0, 8);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
            this->store.store.put(table_name, key, std::to_string(++this->writes));
            break;
        case 2:
            this->store.store.put(table_name, key, std::nullopt);
            break;
        case 3:
        case 4:
            this->poll(this->daemons[size % this->daemons.size()]);
            break;
        case 5:
            this->deliver(size);
            break;
        case 6:
            this->store.store.restore(this->store.store.latest_version() -
                                      std::min<std::uint64_t>(size, this->store.store.latest_version()));
            break;
        default:
            this->store.loses_answer = true;
        }
    }

    event_loop loop;
    served_store store{this->loop};
    std::deque<table_delta> deltas;
    std::array<following_daemon, 2> daemons{following_daemon{this->loop, this->store, true, this->deltas},
                                            following_daemon{this->loop, this->store, false, this->deltas}};
    unsigned writes = 0;
};

} // namespace

TEST_CASE("restored store: followers have its rows after any sequence of changes, restores and lost answers")
{
    rc::prop("two daemons that share polls", [] {
        shared_table table;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            table.act();
        }
        table.store.loses_answer = false;
        const auto expected = table.store.store.values(table_name);
        for (auto& one : table.daemons) {
            table.poll(one);
            table.poll(one);
            RC_ASSERT(one.rows == expected);
        }
    });
}

} // namespace coriander::platform
