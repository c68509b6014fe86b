#pragma once

#include "net/message_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace coriander {

/// What a parser finds in the bytes of a connection.
class message_events {
public:
    virtual ~message_events() = default;
    /// The head is complete.
    virtual void on_message_head(message_head head) = 0;
    /// Bytes of the body.
    virtual void on_message_body(std::string_view bytes) = 0;
};

/// Parses one HTTP/1.1 message after the other out of a connection's bytes. Not thread-safe.
class message_parser {
public:
    /// Whether requests or responses are parsed.
    enum class side { requests, responses };

    message_parser(side parsed, message_events& events);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Prepares for the next message. `has_no_body` is for responses to HEAD requests.
    void begin(bool has_no_body = false);

    /// Parses bytes and returns how many belong to this message: fewer than given once it is complete.
    std::size_t feed(std::string_view bytes);

    /// The other side ended its sending in an orderly way, which completes a body without framing.
    void feed_end();

    [[nodiscard]] bool is_complete() const noexcept { return this->complete; }
    [[nodiscard]] bool is_broken() const noexcept { return this->broken; }
    /// Whether a byte of the message has come.
    [[nodiscard]] bool has_begun() const noexcept { return this->begun; }
    [[nodiscard]] bool has_head() const noexcept { return this->head_done; }
    /// Bytes of the head so far.
    [[nodiscard]] std::size_t head_bytes() const noexcept { return this->head_size; }

private:
    static message_parser& of(http_parser* parser) { return *static_cast<message_parser*>(parser->data); }
    static const http_parser_settings& callbacks();
    int finish_head();
    void add_name(std::string_view bytes);

    message_events& events;
    http_parser parser{};
    side parsed;
    message_head head;
    bool last_was_value = true;
    bool no_body = false;
    bool begun = false;
    bool head_done = false;
    bool complete = false;
    bool broken = false;
    std::size_t head_size = 0;
};

} // namespace coriander
