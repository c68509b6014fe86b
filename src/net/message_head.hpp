#pragma once

#include "http/http_message.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Start line and headers of an HTTP message, as received.
struct message_head {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query, not decoded.
    int status = 0;     ///< Responses only.
    std::vector<http_header> headers;
    bool keeps_connection = true;
    bool has_framing = true;     ///< Has a length or chunks; otherwise the body ends with the connection.
    bool supports_chunks = true; ///< Whether the sender can receive chunks: speaks HTTP/1.1 or later.

    /// Value of the first header with this name, ignoring case; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Compares two ASCII texts, such as header names, ignoring case.
[[nodiscard]] bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// Whether a header is hop-by-hop, that is, must not be forwarded.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// Serializes a message head, including the blank line that ends it.
[[nodiscard]] std::string request_head_text(std::string_view method, std::string_view target,
                                            const std::vector<http_header>& headers);
[[nodiscard]] std::string response_head_text(int status, const std::vector<http_header>& headers);

} // namespace coriander
