#include "coriander/contact_history.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

constexpr time_ms max_gap = 1000_ms;

contact_history history_of(const std::vector<contact_span>& spans)
{
    contact_history history{max_gap};
    for (const auto& span : spans) {
        history.add(span);
    }
    return history;
}

/// Spans shorter than `length_limit` ms, few enough for a history to keep them all.
std::vector<contact_span> drawn_spans(int length_limit)
{
    const auto starts = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 12000));
    std::vector<contact_span> spans;
    spans.reserve(starts.size());
    for (const int start : starts) {
        spans.push_back({time_ms{start}, time_ms{start + *rc::gen::inRange(0, length_limit)}});
    }
    return spans;
}

} // namespace

TEST_CASE("contact history: the first contact does not follow an outage")
{
    CHECK_FALSE(history_of({}).since());
    const auto history = history_of({{5_s, 6_s}});
    CHECK(history.since() == 5_s);
    CHECK_FALSE(history.regained_at());
}

TEST_CASE("contact history: only a gap longer than the bound is an outage")
{
    CHECK_FALSE(history_of({{0_s, 5_s}, {6000_ms, 7_s}}).regained_at());
    CHECK(history_of({{0_s, 5_s}, {6001_ms, 7_s}}).regained_at() == 6001_ms);
}

TEST_CASE("contact history: there was no outage if another daemon had contact meanwhile")
{
    auto history = history_of({{0_s, 5_s}, {9_s, 9_s}});
    REQUIRE(history.regained_at() == 9_s);
    SECTION("all the time")
    {
        history.add({4_s, 10_s});
        CHECK_FALSE(history.regained_at());
        CHECK(history.since() == 0_s);
    }
    SECTION("from a moment of the gap on")
    {
        history.add({7_s, 10_s});
        CHECK(history.regained_at() == 7_s);
    }
    SECTION("in the midst of the gap, too shortly to bridge it")
    {
        history.add({7_s, 7_s});
        CHECK(history.regained_at() == 9_s);
    }
}

TEST_CASE("contact history: a late report of a contact before the outage does not hide it")
{
    auto history = history_of({{0_s, 5_s}, {20_s, 21_s}});
    history.add({4_s, 6_s});
    CHECK(history.regained_at() == 20_s);
}

TEST_CASE("contact history: the order in which spans become known does not matter")
{
    rc::prop("any two orders give the same result", [] {
        const auto spans = drawn_spans(2000);
        auto reversed = spans;
        std::reverse(reversed.begin(), reversed.end());
        const auto history = history_of(spans);
        RC_ASSERT(history.since() == history_of(reversed).since());
        RC_ASSERT(history.regained_at() == history_of(reversed).regained_at());
    });
}

TEST_CASE("contact history: regained contact begins at a span that no other one is near before")
{
    rc::prop("no span ends within the bound before it", [] {
        const auto spans = drawn_spans(1);
        const auto regained_at = history_of(spans).regained_at();
        for (const auto& span : spans) {
            RC_ASSERT(!regained_at || span.until >= *regained_at || *regained_at - span.until > max_gap);
        }
    });
}

} // namespace coriander
