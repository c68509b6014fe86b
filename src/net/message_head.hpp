#pragma once

#include "http/http_message.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// The first line and the headers of an HTTP message, as they came.
struct message_head {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request: path and query, unchanged.
    int status = 0;     ///< Of a response.
    std::vector<http_header> headers;
    bool keeps_connection = true;
    bool has_framing = true; ///< A length or chunks tell where the body ends; otherwise the connection does.

    /// The first header with this name, whatever its case; empty without one.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Whether two header names are the same.
[[nodiscard]] bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// Whether a header concerns one connection only and is never passed on.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// Text of a message's head with the blank line that ends it.
[[nodiscard]] std::string request_head_text(std::string_view method, std::string_view target,
                                            const std::vector<http_header>& headers);
[[nodiscard]] std::string response_head_text(int status, const std::vector<http_header>& headers);

} // namespace coriander
