#pragma once

#include "row_client.hpp"

#include "support/event_loop.hpp"
#include "support/scripted_server.hpp"

#include <deque>
#include <string>

namespace coriander::platform {

inline std::string answer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string row(const std::string& key, const std::string& value, int version)
{
    return R"({"table":"t","part":"","key":")" + key + R"(","value":")" + encode_base64(value) +
           R"(","ver":)" + std::to_string(version) + "}";
}

inline std::string page(const std::string& rows, int version, bool has_more = false)
{
    return answer(200, R"({"rows":[)" + rows + R"(],"has_more":)" + (has_more ? "true" : "false") +
                           R"(,"ver":)" + std::to_string(version) + "}");
}

/// A store that gives one scripted answer after the other; the last one is given over and over, late.
struct scripted_store {
    explicit scripted_store(std::deque<std::string> scripted)
        : answers{std::move(scripted)},
          server{this->loop.context(), [this](tcp_link& link, const std::string& /*request*/) {
                     if (this->answers.empty()) {
                         if (!this->unchanged.empty()) {
                             link.write(this->unchanged);
                         }
                         return; // Else holds the answer back, as for a change that does not come.
                     }
                     const auto text = this->answers.front();
                     this->answers.pop_front();
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
    std::deque<std::string> answers;
    std::string unchanged; ///< The answer after the scripted ones, to questions that don't wait.
    scripted_server server;
    http_call_runner calls{this->loop.context()};
    row_client rows{this->calls, this->server.address()};
};

} // namespace coriander::platform
