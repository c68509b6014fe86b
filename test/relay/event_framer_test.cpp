#include "coriander/relay/event_framer.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace coriander {
namespace {

struct framed_event {
    std::string bytes;
    std::optional<std::uint64_t> number;
};

std::vector<framed_event> feed_all(event_framer& framer, const std::vector<std::string>& chunks)
{
    std::vector<framed_event> events;
    for (const auto& chunk : chunks) {
        framer.feed(chunk, [&](std::string_view bytes, std::optional<std::uint64_t> number) {
            events.push_back({std::string{bytes}, number});
        });
    }
    return events;
}

} // namespace

TEST_CASE("event framer: only complete events are emitted")
{
    event_framer framer;
    CHECK(feed_all(framer, {"id: 1\ndata: a\n"}).empty());
    CHECK(framer.has_partial());
    const auto events = feed_all(framer, {"\nid: 2\n"});
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 1\ndata: a\n\n");
    CHECK(events[0].number == 1);
    CHECK(framer.has_partial());
}

TEST_CASE("event framer: reset discards an incomplete event")
{
    event_framer framer;
    (void)feed_all(framer, {"id: 3\ndata: brok"});
    framer.reset();
    const auto events = feed_all(framer, {"id: 3\ndata: whole\n\n"});
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 3\ndata: whole\n\n");
}

TEST_CASE("event framer: the number is found on any line, and only in the id field")
{
    CHECK(event_number("weights: 4\nid:12\ndata: id: 5\n\n") == 12);
    CHECK(event_number("data: id: 5\n\n") == std::nullopt);
    CHECK(event_number("id: x\n\n") == std::nullopt);
    CHECK(event_number("") == std::nullopt);
}

TEST_CASE("event framer: lines may end in CR LF")
{
    event_framer framer;
    const auto events = feed_all(framer, {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"});
    REQUIRE(events.size() == 1);
    CHECK(events[0].number == 1);
}

TEST_CASE("event framer: the emitted events do not depend on how the bytes are split")
{
    rc::prop("chunks of any length", [](const std::vector<std::uint8_t>& chunk_lengths) {
        std::string stream;
        for (int i = 1; i <= 9; ++i) {
            stream += "id: " + std::to_string(i) + "\ndata: text " + std::to_string(i * i) + "\n\n";
        }
        std::vector<std::string> chunks;
        std::size_t offset = 0;
        for (const auto chunk_length : chunk_lengths) {
            chunks.push_back(stream.substr(std::min(offset, stream.size()), chunk_length % 40));
            offset += chunks.back().size();
        }
        chunks.push_back(stream.substr(std::min(offset, stream.size())));
        event_framer framer;
        const auto events = feed_all(framer, chunks);
        RC_ASSERT(events.size() == 9U);
        std::string joined;
        for (std::size_t i = 0; i < events.size(); ++i) {
            RC_ASSERT(events[i].number == i + 1);
            joined += events[i].bytes;
        }
        RC_ASSERT(joined == stream);
        RC_ASSERT(!framer.has_partial());
    });
}

} // namespace coriander
