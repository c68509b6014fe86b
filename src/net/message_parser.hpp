#pragma once

#include "http/response_head_check.hpp"
#include "net/message_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace coriander {

/// Callbacks of a `message_parser`.
class message_events {
public:
    virtual ~message_events() = default;
    /// Called once per message, when the head is complete.
    virtual void on_message_head(message_head head) = 0;
    /// Called for each piece of the body, after the head.
    virtual void on_message_body(std::string_view bytes) = 0;
};

/// Incremental parser for the HTTP/1.1 messages of one connection. Not thread-safe.
class message_parser {
public:
    /// Kind of messages to parse.
    enum class side { requests, responses };

    message_parser(side parsed, message_events& events);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Resets the parser for the next message. `has_no_body` is for responses to HEAD requests.
    void begin(bool has_no_body = false);

    /// Parses bytes and returns how many were consumed. Bytes after the end of the message are not consumed.
    std::size_t feed(std::string_view bytes);

    /// Signals an orderly end of the connection, which completes a body without framing.
    void feed_end();

    [[nodiscard]] bool is_complete() const noexcept { return this->complete; }
    [[nodiscard]] bool is_broken() const noexcept { return this->broken; }
    /// Whether any byte of the message has been parsed.
    [[nodiscard]] bool has_begun() const noexcept { return this->begun; }
    [[nodiscard]] bool has_head() const noexcept { return this->is_head_complete; }
    /// Size of the head so far, in bytes.
    [[nodiscard]] std::size_t head_bytes() const noexcept { return this->head_size; }

private:
    static message_parser& of(http_parser* parser) { return *static_cast<message_parser*>(parser->data); }
    static const http_parser_settings& callbacks();
    [[nodiscard]] std::string_view next_part(std::string_view bytes) const;
    std::size_t feed_part(std::string_view part);
    int finish_head();
    void add_name(std::string_view bytes);

    message_events& events;
    http_parser parser{};
    side parsed;
    response_head_check head_check;
    message_head head;
    bool last_was_value = true;
    bool no_body = false;
    bool begun = false;
    bool is_head_complete = false;
    bool complete = false;
    bool broken = false;
    std::size_t head_size = 0;
};

} // namespace coriander
