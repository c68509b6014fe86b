#pragma once

#include "row_client.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <deque>
#include <string>

namespace coriander::platform {

/// An HTTP response.
inline std::string answer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The same response in an era of the store.
inline std::string in_era(int era, std::string response)
{
    return response.insert(response.find("\r\n") + 2, "Store-Era: " + std::to_string(era) + "\r\n");
}

/// A row of the table `t`, as the store encodes it.
inline std::string row(const std::string& key, const std::string& value, int version)
{
    return R"({"table":"t","part":"","key":")" + key + R"(","value":")" + encode_base64(value) +
           R"(","ver":)" + std::to_string(version) + "}";
}

/// An HTTP response with encoded rows, which are separated by commas.
inline std::string page(const std::string& rows, int version, bool has_more = false)
{
    return answer(200, R"({"rows":[)" + rows + R"(],"has_more":)" + (has_more ? "true" : "false") +
                           R"(,"ver":)" + std::to_string(version) + "}");
}

/// A store that gives the scripted responses one after the other, then `default_response`. The response "cut"
/// closes the connection.
struct scripted_store {
    explicit scripted_store(std::deque<std::string> scripted)
        : responses{std::move(scripted)},
          server{this->loop.context(), [this](tcp_link& link, const std::string& /*request*/) {
                     if (this->responses.empty()) {
                         if (!this->default_response.empty()) {
                             link.write(this->default_response);
                         }
                         return; // Without a default, does not answer, like a long poll without a change.
                     }
                     const auto text = this->responses.front();
                     this->responses.pop_front();
                     if (text == "cut") {
                         link.close();
                     }
                     else {
                         link.write(text);
                     }
                 }}
    {
    }

    event_loop loop;
    std::deque<std::string> responses;
    std::string default_response; ///< Sent after the scripted ones, without waiting; empty: no answer.
    scripted_server server;
    http_call_runner calls{this->loop.context(), store_connections};
    row_client rows{this->calls, this->server.address()};
};

} // namespace coriander::platform
