#include "gateway/order_history.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
const controller_settings settings;
const host_order join{order_kind::join, "h", "d-1", 1, "large", {"h"}};

} // namespace

TEST_CASE("order history: an order whose answer is lost is retried before its effect would be visible")
{
    order_history history;
    history.on_sent(join, start);
    CHECK_FALSE(history.is_due(join, settings, start + settings.status_interval));
    history.on_answer(join, order_answer::unanswered);
    CHECK(history.is_due(join, settings, start + settings.status_interval));
}

TEST_CASE("order history: an accepted order is resent only after a long time without a visible effect")
{
    order_history history;
    history.on_sent(join, start);
    history.on_answer(join, order_answer::accepted);
    CHECK_FALSE(history.is_due(join, settings, start + settings.status_interval));
    CHECK(history.is_due(join, settings, start + settings.order_retry_interval));
}

TEST_CASE("order history: consecutive unanswered orders are counted until one is answered")
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
