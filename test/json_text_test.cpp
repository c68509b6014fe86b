#include "core/json_text.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace coriander {
namespace {

std::string repeated(const std::string& part, std::size_t count)
{
    std::string text;
    text.reserve(part.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += part;
    }
    return text;
}

/// An object with values nested to `depth`, the object included.
std::string nested(std::size_t depth, const std::string& open, const std::string& value,
                   const std::string& close)
{
    return R"({"a":)" + repeated(open, depth - 1) + value + repeated(close, depth - 1) + "}";
}

} // namespace

TEST_CASE("json text: values nested beyond the limit are rejected")
{
    CHECK(parse_object(nested(max_json_depth, "[", "1", "]")));
    CHECK(parse_object(nested(max_json_depth, R"({"a":)", "1", "}")));
    const auto depth = GENERATE(max_json_depth + 1, std::size_t{200000}, std::size_t{2000000});
    CAPTURE(depth);
    CHECK_FALSE(parse_object(nested(depth, "[", "1", "]")));
    CHECK_FALSE(parse_object(nested(depth, R"({"a":)", "1", "}")));
    CHECK_FALSE(parse_object(nested(depth, "[{\"a\":", "1", "}]")));
    CHECK_FALSE(parse_object(nested(depth, "[", "1", "")));
}

TEST_CASE("json text: brackets inside strings are not nesting")
{
    const auto brackets = repeated("[{", 1000);
    const auto object = parse_object(R"({"[{\"[\\":")" + brackets + R"(\\\"[", "b": ["]]"], "c": "\u005b"})");
    REQUIRE(object);
    CHECK(text_member(*object, "[{\"[\\") == brackets + "\\\"[");
}

TEST_CASE("json text: siblings are not nesting")
{
    CHECK(parse_object(R"({"a":[)" + repeated("[[]],", 10000) + "{}]}"));
}

TEST_CASE("json text: any nested text is parsed or rejected, and its members can be copied")
{
    rc::prop("random brackets and quotes", [] {
        const auto depth = *rc::gen::inRange<std::size_t>(1, 5000);
        std::string text = R"({"a":)";
        for (std::size_t i = 0; i < depth; ++i) {
            text += *rc::gen::element<std::string>("[", "{\"b\":", "[1,", "\"", "]", "}", "\\", "[\"x\",");
        }
        if (const auto object = parse_object(text)) {
            (void)array_member(*object, "a");
            (void)to_text(*object);
        }
    });
}

} // namespace coriander
