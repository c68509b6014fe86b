#include "gateway/relay_mark.hpp"

#include <array>
#include <tuple>

namespace coriander {
namespace {

/// Names the purpose and the covered fields, so that a later form of the mark can't be taken for this one.
constexpr std::string_view mark_form = "coriander relayed request 1";

std::string mac_text(std::span<const std::uint8_t> key, std::string_view sender,
                     const marked_request& request)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::array<std::string_view, 8> fields{mark_form,          sender,
                                                 request.recipient,  request.method,
                                                 request.target,     request.host_name,
                                                 request.attempt_id, request.deadline_ms};
    std::string text;
    for (const auto byte : compute_mac(key, fields)) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::span<const std::uint8_t> bytes_of(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace

std::string make_relay_mark(std::span<const std::uint8_t> key, std::string_view sender,
                            const marked_request& request)
{
    return mac_text(key, sender, request) + ' ' + std::string{sender};
}

bool is_valid_relay_mark(std::span<const std::uint8_t> key, std::string_view mark,
                         const marked_request& request)
{
    constexpr std::size_t digits = std::tuple_size_v<message_mac> * 2;
    if (mark.size() <= digits + 1 || mark[digits] != ' ') {
        return false;
    }
    const auto expected = mac_text(key, mark.substr(digits + 1), request);
    return is_same_mac(bytes_of(expected), bytes_of(mark.substr(0, digits)));
}

marked_request marked_request_of(const message_head& head, const relay_dialect& dialect,
                                 std::string_view recipient)
{
    return {recipient,
            head.method,
            head.target,
            head.header("Host"),
            head.header(dialect.attempt_id),
            head.header(dialect.deadline_ms)};
}

} // namespace coriander
