#include "net/caller_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr std::size_t mb = 1U << 20U;
constexpr std::size_t kb = 1U << 10U;

/// A connection that holds what it has read until its request has been answered.
struct fake_connection : budgeted_connection {
    explicit fake_connection(caller_budget& budget) : budget{budget} {}

    [[nodiscard]] std::size_t held_bytes() const override { return this->held; }
    [[nodiscard]] std::size_t unread_bytes() const override { return this->unread; }
    [[nodiscard]] bool can_end() const override { return !this->is_answered; }
    void end_for_room(std::optional<int> status) override
    {
        this->has_ended = true;
        this->ended_with = status;
        this->held = 0;
        this->budget.remove(*this);
    }
    void read_on() override { ++this->resumed; }

    /// Reads up to `bytes`; returns how many it was allowed to read.
    std::size_t read(std::size_t bytes, time_ms now)
    {
        const auto allowed = std::min(bytes, this->budget.may_read(*this, now));
        if (this->has_ended) {
            return 0;
        }
        this->held += allowed;
        this->budget.update(*this, now);
        return allowed;
    }

    caller_budget& budget;
    std::size_t held = 0;
    std::size_t unread = 0;
    bool is_answered = false;
    bool has_ended = false;
    std::optional<int> ended_with;
    int resumed = 0;
};

/// A budget of 10 MB and 8 connections, with connections that live until the end of the test.
struct budget_fixture {
    fake_connection& add(time_ms now)
    {
        this->connections.push_back(std::make_unique<fake_connection>(this->budget));
        this->accepted = this->budget.add(*this->connections.back(), now);
        return *this->connections.back();
    }
    /// A connection that has read so much.
    fake_connection& add_holding(std::size_t bytes, time_ms now)
    {
        auto& one = this->add(now);
        while (one.held < bytes && one.read(bytes - one.held, now) > 0) {
        }
        return one;
    }

    caller_budget budget{{10 * mb, 8}};
    std::vector<std::unique_ptr<fake_connection>> connections;
    bool accepted = false;
};

} // namespace

TEST_CASE("caller budget: a large request that would exceed the bound waits, and goes on once there is room")
{
    budget_fixture fixture;
    auto& first = fixture.add_holding(5 * mb, start);
    auto& second = fixture.add_holding(5 * mb, start);
    first.is_answered = second.is_answered = true;
    auto& third = fixture.add(start);
    third.held = 32 * kb;
    fixture.budget.update(third, start);
    CHECK(third.read(kb, start) == 0);
    CHECK(fixture.budget.waiting_connections() == 1);
    CHECK(fixture.budget.needs_relief());
    first.held = 0;
    fixture.budget.update(first, start);
    fixture.budget.relieve(start + 100_ms);
    CHECK(third.resumed == 1);
    CHECK(third.read(kb, start + 100_ms) == kb);
    CHECK_FALSE(fixture.budget.needs_relief());
    CHECK(fixture.budget.ended_count() == 0);
}

TEST_CASE("caller budget: a connection that stalls is ended for one that waits, the most stalled first")
{
    budget_fixture fixture;
    auto& first = fixture.add_holding(5 * mb, start);
    auto& second = fixture.add_holding(5 * mb, start + 500_ms);
    std::vector<fake_connection*> waiting;
    for (int i = 0; i < 2; ++i) {
        auto& one = fixture.add(start + 600_ms);
        one.held = 32 * kb;
        fixture.budget.update(one, start + 600_ms);
        CHECK(one.read(kb, start + 600_ms) == 0);
        waiting.push_back(&one);
    }
    fixture.budget.relieve(start + 900_ms);
    CHECK(fixture.budget.ended_count() == 0);
    CHECK(waiting[0]->resumed == 1); // One may exceed the bound.
    CHECK(waiting[1]->resumed == 0);
    fixture.budget.relieve(start + 1_s);
    CHECK(first.has_ended);
    CHECK(first.ended_with == 408);
    CHECK_FALSE(second.has_ended);
    CHECK(waiting[1]->resumed == 1);
}

TEST_CASE("caller budget: what is held harms nobody while nothing waits")
{
    budget_fixture fixture;
    auto& only = fixture.add_holding(9 * mb, start);
    fixture.budget.relieve(start + 60_s);
    CHECK_FALSE(only.has_ended);
}

TEST_CASE("caller budget: a small request is read although large ones fill the bound")
{
    budget_fixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.add_holding(5 * mb, start).is_answered = true;
    }
    CHECK(fixture.add(start).read(4 * kb, start) == 4 * kb);
    SECTION("also when small ones have filled the reserve: the most stalled of them is ended")
    {
        for (int i = 0; i < 2; ++i) {
            auto& one = fixture.add(start + 10_ms);
            one.held = 2 * mb;
            fixture.budget.update(one, start + 10_ms);
        }
        CHECK(fixture.add(start + 20_ms).read(4 * kb, start + 20_ms) == 4 * kb);
        CHECK(fixture.budget.ended_count() > 0);
    }
}

TEST_CASE("caller budget: requests that all wait for each other go on one by one")
{
    budget_fixture fixture;
    std::vector<fake_connection*> all;
    all.reserve(5);
    for (int i = 0; i < 5; ++i) {
        all.push_back(&fixture.add_holding(2 * mb - 4 * kb, start));
    }
    std::size_t waiting = 0;
    for (auto* one : all) {
        while (one->held < 3 * mb && one->read(64 * kb, start) > 0) {
        }
        waiting += one->held < 3 * mb ? 1 : 0;
    }
    REQUIRE(waiting == 5);
    fixture.budget.relieve(start + 100_ms);
    const auto resumed = std::count_if(all.begin(), all.end(), [](auto* one) { return one->resumed > 0; });
    REQUIRE(resumed == 1);
    auto* first = *std::find_if(all.begin(), all.end(), [](auto* one) { return one->resumed > 0; });
    while (first->held < 4 * mb && first->read(64 * kb, start + 100_ms) > 0) {
    }
    CHECK(first->held >= 4 * mb);
}

TEST_CASE("caller budget: a connection that has waited for long is refused as not run")
{
    budget_fixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.add_holding(5 * mb, start).is_answered = true;
    }
    std::vector<fake_connection*> waiting;
    for (int i = 0; i < 2; ++i) {
        auto& one = fixture.add(start);
        one.held = 32 * kb;
        fixture.budget.update(one, start);
        CHECK(one.read(kb, start) == 0);
        waiting.push_back(&one);
    }
    fixture.budget.relieve(start + 3_s);
    CHECK(waiting[0]->ended_with == 503);
    CHECK(waiting[1]->ended_with == 503);
}

TEST_CASE("caller budget: beyond the number of connections the one without progress for longest is ended")
{
    budget_fixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.add(start + time_ms{i});
    }
    fixture.connections[0]->is_answered = true;
    fixture.add(start + 10_ms);
    CHECK(fixture.accepted);
    CHECK_FALSE(fixture.connections[0]->has_ended);
    CHECK(fixture.connections[1]->has_ended);
    CHECK(fixture.budget.connections() == 8);
    SECTION("a new one is not accepted if all are being answered")
    {
        for (auto& one : fixture.connections) {
            one->is_answered = true;
        }
        fixture.add(start + 20_ms);
        CHECK_FALSE(fixture.accepted);
        CHECK(fixture.budget.connections() == 8);
    }
}

TEST_CASE("caller budget: an answer that its caller reads, however slowly, is progress")
{
    budget_fixture fixture;
    auto& reader = fixture.add_holding(5 * mb, start);
    reader.unread = 5 * mb;
    fixture.budget.update(reader, start);
    auto& stalled = fixture.add_holding(5 * mb, start + 500_ms);
    auto& third = fixture.add(start + 1400_ms);
    third.held = 32 * kb;
    fixture.budget.update(third, start + 1400_ms);
    CHECK(third.read(kb, start + 1400_ms) == 0);
    reader.unread -= kb;
    reader.held -= kb;
    fixture.budget.relieve(start + 1500_ms);
    CHECK_FALSE(reader.has_ended);
    CHECK(stalled.has_ended);
}

TEST_CASE("caller budget: whatever a crowd sends, the bound holds but for one request and the reserve")
{
    rc::prop("bytes and connections stay bounded, and a small request is always read", [] {
        std::mt19937 random{*rc::gen::arbitrary<unsigned>()};
        const auto below = [&](int bound) {
            return std::uniform_int_distribution<int>{0, bound - 1}(random);
        };
        constexpr std::size_t max_request = 4 * mb;
        constexpr std::size_t max_answered = 2 * max_request;
        budget_fixture fixture;
        auto now = start;
        for (int step = 0; step < 400; ++step) {
            now = now + time_ms{below(40)};
            auto& one = below(4) == 0 || fixture.connections.empty()
                            ? fixture.add(now)
                            : *fixture.connections[static_cast<std::size_t>(
                                  below(static_cast<int>(fixture.connections.size())))];
            if (one.has_ended) {
                continue;
            }
            if (one.is_answered && below(3) == 0) {
                one.is_answered = false;
                one.held = 0;
                fixture.budget.update(one, now);
            }
            else if (!one.is_answered && one.held + 64 * kb <= max_request) {
                one.read(static_cast<std::size_t>(1 + below(64)) * kb, now);
                if (!one.has_ended && below(20) == 0) {
                    one.is_answered = true;
                }
            }
            if (below(3) == 0) {
                fixture.budget.relieve(now);
            }
            RC_ASSERT(fixture.budget.connections() <= 8U);
            RC_ASSERT(fixture.budget.used_bytes() <= 10 * mb + 10 * mb / 4 + max_answered);
        }
    });
}

} // namespace coriander
