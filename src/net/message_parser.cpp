#include "net/message_parser.hpp"

namespace coriander {
namespace {

constexpr int first_final_status = 200;
/// Of a response, interim ones before it included. Requests are bounded by their connection's settings.
constexpr std::size_t max_response_head_bytes = 65536;

/// The bytes that the head takes on the wire.
std::size_t length_of(const message_head& head)
{
    constexpr std::size_t first_line_rest = 12; // Spaces, version and line end.
    constexpr std::size_t header_rest = 4;      // Colon, space and line end.
    std::size_t length = head.method.size() + head.target.size() + first_line_rest;
    for (const auto& header : head.headers) {
        length += header.name.size() + header.value.size() + header_rest;
    }
    return length;
}

} // namespace

message_parser::message_parser(side parsed, message_events& events) : events{events}, parsed{parsed}
{
    this->begin();
}

void message_parser::begin(bool has_no_body)
{
    http_parser_init(&this->parser, this->parsed == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->head = {};
    this->last_was_value = true;
    this->no_body = has_no_body;
    this->begun = this->head_done = this->complete = this->broken = false;
    this->head_size = 0;
}

void message_parser::add_name(std::string_view bytes)
{
    if (this->last_was_value) {
        this->head.headers.emplace_back();
        this->last_was_value = false;
    }
    this->head.headers.back().name += bytes;
}

int message_parser::finish_head()
{
    constexpr int skip_body = 1;
    this->head.status = this->parser.status_code;
    this->head.keeps_connection = http_should_keep_alive(&this->parser) != 0;
    this->head.has_framing =
        (this->parser.flags & F_CHUNKED) != 0 || (this->parser.flags & F_CONTENTLENGTH) != 0;
    if (this->parsed == side::requests) {
        this->head.method = http_method_str(static_cast<http_method>(this->parser.method));
    }
    else if (this->head.status < first_final_status) {
        this->head = {};
        this->last_was_value = true;
        return 0; // An interim response: the final one follows.
    }
    this->head_done = true;
    this->head_size = length_of(this->head);
    this->events.on_message_head(std::move(this->head));
    return this->no_body ? skip_body : 0;
}

const http_parser_settings& message_parser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings table;
        http_parser_settings_init(&table);
        table.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            of(parser).head.target.append(at, length);
            return 0;
        };
        table.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
            if (!of(parser).head_done) { // Trailers of a chunked body are dropped.
                of(parser).add_name({at, length});
            }
            return 0;
        };
        table.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            auto& self = of(parser);
            if (!self.head_done) {
                self.last_was_value = true;
                self.head.headers.back().value.append(at, length);
            }
            return 0;
        };
        table.on_headers_complete = [](http_parser* parser) { return of(parser).finish_head(); };
        table.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            of(parser).events.on_message_body({at, length});
            return 0;
        };
        table.on_message_complete = [](http_parser* parser) {
            auto& self = of(parser);
            if (self.head_done) {
                self.complete = true;
                http_parser_pause(parser, 1);
            }
            return 0;
        };
        return table;
    }();
    return settings;
}

std::size_t message_parser::feed(std::string_view bytes)
{
    if (bytes.empty() || this->complete || this->broken) {
        return 0;
    }
    this->begun = true;
    const auto used = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    const auto problem = HTTP_PARSER_ERRNO(&this->parser);
    if (this->complete) {
        http_parser_pause(&this->parser, 0);
    }
    else if (problem != HPE_OK || this->parser.upgrade != 0) {
        this->broken = true;
    }
    if (!this->head_done) {
        this->head_size += used;
        this->broken =
            this->broken || (this->parsed == side::responses && this->head_size > max_response_head_bytes);
    }
    return used;
}

void message_parser::feed_end()
{
    if (!this->complete && !this->broken) {
        http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
        this->broken = !this->complete;
    }
}

} // namespace coriander
