#include "coriander/prefix_index.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("prefix index: late events are applied, repeats ignored, and a gap requires a snapshot")
{
    prefix_index index;
    CHECK(index.apply("a", {{1, "x", true}, {2, "y", true}}, 2));
    CHECK(index.apply("a", {{2, "y", true}, {3, "x", false}}, 3));
    CHECK_FALSE(index.holds("a", "x"));
    CHECK(index.holds("a", "y"));
    CHECK_FALSE(index.apply("a", {{5, "z", true}}, 5));
    CHECK_FALSE(index.holds("a", "y"));
    CHECK(index.last_event("a") == 0);
    index.replace("a", {"z"}, 5);
    CHECK(index.holds("a", "z"));
    CHECK(index.apply("a", {{6, "w", true}}, 6));
}

TEST_CASE("prefix index: an engine that lost events or restarted is asked for a snapshot")
{
    prefix_index index;
    index.update("a", *decode_cache_answer(R"({"last":2,"prefixes":["x","y"],"events":[]})"));
    CHECK(index.last_event("a") == 2);
    index.update("a",
                 *decode_cache_answer(R"({"last":4,"events":[{"number":4,"prefix":"z","stored":true}]})"));
    CHECK(index.last_event("a") == 0);
    CHECK_FALSE(index.holds("a", "x"));
    index.update("a", *decode_cache_answer(R"({"last":1,"prefixes":["w"],"events":[]})"));
    CHECK(index.holds("a", "w"));
    index.update("a", *decode_cache_answer(R"({"last":0,"events":[]})"));
    CHECK_FALSE(index.holds("a", "w"));
}

TEST_CASE("prefix index: text that is not an engine's response is rejected")
{
    CHECK_FALSE(decode_cache_answer("<html>").has_value());
    CHECK_FALSE(decode_cache_answer("{}").has_value());
}

} // namespace coriander
