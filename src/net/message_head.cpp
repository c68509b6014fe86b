#include "net/message_head.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace coriander {
namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Connection"};

void append_headers(std::string& text, const std::vector<http_header>& headers)
{
    for (const auto& header : headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    text += "\r\n";
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool is_hop_by_hop(std::string_view name) noexcept
{
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](std::string_view hop) { return equal_ignoring_case(name, hop); });
}

std::string_view message_head::header(std::string_view name) const
{
    const auto found = std::find_if(this->headers.begin(), this->headers.end(), [&](const http_header& one) {
        return equal_ignoring_case(one.name, name);
    });
    return found == this->headers.end() ? std::string_view{} : std::string_view{found->value};
}

std::string request_head_text(std::string_view method, std::string_view target,
                              const std::vector<http_header>& headers)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append_headers(text, headers);
    return text;
}

std::string response_head_text(int status, const std::vector<http_header>& headers)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " " +
                http_status_str(static_cast<enum http_status>(status)) + "\r\n";
    append_headers(text, headers);
    return text;
}

} // namespace coriander
