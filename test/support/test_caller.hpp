#pragma once

#include "net/http_channel.hpp"
#include "support/response_recorder.hpp"

#include <asio/io_context.hpp>

#include <string>

namespace coriander {

/// A caller with its own connection that records the responses that it receives.
class test_caller : public response_recorder {
public:
    test_caller(asio::io_context& loop, std::uint16_t port) : channel{std::make_shared<http_channel>(loop)}
    {
        constexpr time_ms limit = 5_s;
        this->channel->connect({asio::ip::make_address("127.0.0.1"), port}, limit);
    }
    ~test_caller() override { this->channel->close(); }
    test_caller(const test_caller&) = delete;
    test_caller& operator=(const test_caller&) = delete;

    void send(const std::string& request)
    {
        this->end.reset();
        this->body.clear();
        this->channel->send(request, *this);
    }
    void pause_reading() { this->channel->pause_reading(); }
    void resume_reading() { this->channel->resume_reading(); }
    void disconnect() { this->channel->close(); }

private:
    std::shared_ptr<http_channel> channel;
};

} // namespace coriander
