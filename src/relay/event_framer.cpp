#include "coriander/relay/event_framer.hpp"

#include <algorithm>
#include <charconv>

namespace coriander {
namespace {

/// The length of the first event, with the blank line that ends it; 0 when it is not complete.
std::size_t whole_event_length(std::string_view bytes)
{
    const auto unix_end = bytes.find("\n\n");
    const auto dos_end = bytes.find("\n\r\n");
    if (unix_end == std::string_view::npos && dos_end == std::string_view::npos) {
        return 0;
    }
    constexpr std::size_t unix_length = 2;
    constexpr std::size_t dos_length = 3;
    return unix_end < dos_end ? unix_end + unix_length : dos_end + dos_length;
}

} // namespace

void event_framer::feed(std::string_view bytes, const on_event& emit)
{
    if (!this->partial.empty()) {
        this->partial += bytes;
        bytes = this->partial;
    }
    std::size_t used = 0;
    while (const auto length = whole_event_length(bytes.substr(used))) {
        const auto event = bytes.substr(used, length);
        emit(event, event_number(event));
        used += length;
    }
    this->partial = std::string{bytes.substr(used)};
}

std::optional<std::uint64_t> event_number(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(field)) {
            auto value = line.substr(field.size());
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
            return parsed.ec == std::errc{} ? std::optional{number} : std::nullopt;
        }
        event.remove_prefix(std::min(line.size() + 1, event.size()));
    }
    return std::nullopt;
}

} // namespace coriander
