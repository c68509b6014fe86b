#include "coriander/relay/event_framer.hpp"

#include <algorithm>
#include <charconv>

namespace coriander {
namespace {

/// Length of the first event, including the terminating blank line; 0 if the event is incomplete.
std::size_t complete_event_length(std::string_view bytes)
{
    const auto lf_end = bytes.find("\n\n");
    const auto crlf_end = bytes.find("\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return 0;
    }
    constexpr std::size_t lf_length = 2;
    constexpr std::size_t crlf_length = 3;
    return lf_end < crlf_end ? lf_end + lf_length : crlf_end + crlf_length;
}

} // namespace

void event_framer::feed(std::string_view bytes, const on_event& emit)
{
    if (!this->partial.empty()) {
        this->partial += bytes;
        bytes = this->partial;
    }
    std::size_t consumed = 0;
    while (const auto length = complete_event_length(bytes.substr(consumed))) {
        const auto event = bytes.substr(consumed, length);
        emit(event, event_number(event));
        consumed += length;
    }
    this->partial = std::string{bytes.substr(consumed)};
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
