#include "gateway/order_history.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
const controller_settings settings;
const host_order join{order_kind::join, "h", "d-1", 1, "large", {"h"}};

} // namespace

TEST_CASE("order history: an order whose answer is lost is not held back until its effect should show")
{
    order_history history;
    history.on_sent(join, start);
    CHECK_FALSE(history.is_due(join, settings, start + settings.ask_interval));
    history.on_answer(join, order_answer::unanswered);
    CHECK(history.is_due(join, settings, start + settings.ask_interval));
}

TEST_CASE("order history: an accepted order is repeated only when its effect does not show for long")
{
    order_history history;
    history.on_sent(join, start);
    history.on_answer(join, order_answer::accepted);
    CHECK_FALSE(history.is_due(join, settings, start + settings.ask_interval));
    CHECK(history.is_due(join, settings, start + settings.order_repeat));
}

TEST_CASE("order history: unanswered orders in a row are counted until one is answered")
{
    order_history history;
    history.on_sent(join, start);
    CHECK(history.on_answer(join, order_answer::unanswered) == 1);
    history.on_sent(join, start + 1_s);
    CHECK(history.on_answer(join, order_answer::unanswered) == 2);
    history.on_sent(join, start + 2_s);
    CHECK(history.on_answer(join, order_answer::accepted) == 0);
}

} // namespace coriander
