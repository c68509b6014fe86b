#pragma once

#include <string>
#include <vector>

namespace coriander {

/// One header field.
struct http_header {
    std::string name;
    std::string value;
};

/// Whether a response's status code is one that HTTP allows (RFC 9110, section 15).
[[nodiscard]] constexpr bool is_valid_status(int status) noexcept
{
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    return status >= first_status && status <= last_status;
}

/// Whether a response with this status is followed by another one to the same request.
[[nodiscard]] constexpr bool is_interim_status(int status) noexcept
{
    constexpr int first_final_status = 200;
    return status < first_final_status;
}

/// A request passed to a handler. `path` excludes the query; header names are compared ignoring case.
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::vector<http_header> headers;

    /// The value of the header; empty if there is none.
    [[nodiscard]] std::string header(const std::string& name) const;

    /// The decoded value of a query parameter; empty if there is none.
    [[nodiscard]] std::string query_value(const std::string& name) const;
};

/// A complete response.
struct http_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_header> headers;
};

} // namespace coriander
