#pragma once

#include "net/http_channel.hpp"

#include <optional>
#include <string>

namespace coriander {

/// Records the response that it receives.
class response_recorder : public response_receiver {
public:
    void on_response_head(message_head received) override { this->head = std::move(received); }
    void on_response_body(std::string_view bytes) override { this->body += bytes; }
    void on_exchange_end(exchange_end how) override { this->end = how; }

    message_head head;
    std::string body;
    std::optional<exchange_end> end;
};

} // namespace coriander
