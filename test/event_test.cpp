#include "coriander/event.hpp"

#include "runtime/program.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <set>
#include <string>

namespace coriander {
namespace {

const char* level_name(log_level level)
{
    constexpr std::array names{"debug", "info", "warn", "error"};
    return names[static_cast<std::size_t>(level)];
}

} // namespace

TEST_CASE("events: the page in the docs lists each event with its number, name and level")
{
    const auto page = read_file(CORIANDER_SOURCE_DIR "/docs/LOG-EVENTS.md");
    REQUIRE(page);
    std::size_t rows = 0;
    for (std::size_t row = page->find("\n| "); row != std::string::npos; row = page->find("\n| ", row + 1)) {
        ++rows;
    }
    CHECK(rows == event_catalogue.size() + 1); // Includes the header row.
    for (const auto& entry : event_catalogue) {
        const auto line = "\n| " + std::to_string(static_cast<int>(entry.id)) + " | " +
                          std::string{entry.name} + " | " + level_name(entry.level) + " | ";
        CAPTURE(line);
        CHECK(page->find(line) != std::string::npos);
    }
}

TEST_CASE("events: each event is logged by some source file")
{
    std::string sources;
    for (const auto* folder : {CORIANDER_SOURCE_DIR "/src", CORIANDER_SOURCE_DIR "/platform"}) {
        for (const auto& file : std::filesystem::recursive_directory_iterator{folder}) {
            if (file.is_regular_file()) {
                sources += read_file(file.path().string()).value_or("");
            }
        }
    }
    for (const auto& entry : event_catalogue) {
        CAPTURE(std::string{entry.name});
        CHECK(sources.find("event::" + std::string{entry.name}) != std::string::npos);
    }
}

TEST_CASE("events: numbers and names are unique")
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const auto& entry : event_catalogue) {
        CHECK(numbers.insert(static_cast<int>(entry.id)).second);
        CHECK(names.insert(entry.name).second);
    }
}

} // namespace coriander
