#include "net/message_parser.hpp"

namespace coriander {
namespace {

/// For a response, including interim responses before it. Requests are limited by `connection_limits`.
constexpr std::size_t max_response_head_bytes = 65536;

/// Size of the head on the wire, in bytes.
std::size_t wire_size_of(const message_head& head)
{
    constexpr std::size_t start_line_overhead = 12; // Spaces, version and CRLF.
    constexpr std::size_t header_overhead = 4;      // Colon, space and CRLF.
    std::size_t length = head.method.size() + head.target.size() + start_line_overhead;
    for (const auto& header : head.headers) {
        length += header.name.size() + header.value.size() + header_overhead;
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
    this->head_check = {};
    this->head = {};
    this->last_was_value = true;
    this->no_body = has_no_body;
    this->begun = this->is_head_complete = this->complete = this->broken = false;
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
    constexpr int reject = -1;
    this->head.status = this->parser.status_code;
    this->head.keeps_connection = http_should_keep_alive(&this->parser) != 0;
    this->head.has_framing =
        (this->parser.flags & F_CHUNKED) != 0 || (this->parser.flags & F_CONTENTLENGTH) != 0;
    this->head.supports_chunks =
        this->parser.http_major > 1 || (this->parser.http_major == 1 && this->parser.http_minor > 0);
    if (this->parsed == side::requests) {
        this->head.method = http_method_str(static_cast<http_method>(this->parser.method));
    }
    else if (!is_valid_status(this->head.status)) {
        return reject;
    }
    else if (is_interim_status(this->head.status)) {
        this->head = {};
        this->last_was_value = true;
        return 0; // Interim response; the final one follows.
    }
    this->is_head_complete = true;
    this->head_size = wire_size_of(this->head);
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
            if (!of(parser).is_head_complete) { // Trailers of a chunked body are ignored.
                of(parser).add_name({at, length});
            }
            return 0;
        };
        table.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            auto& self = of(parser);
            if (!self.is_head_complete) {
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
            if (self.is_head_complete) {
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
    std::size_t used = 0;
    while (used < bytes.size() && !this->complete && !this->broken) {
        used += this->feed_part(this->next_part(bytes.substr(used)));
    }
    return used;
}

std::string_view message_parser::next_part(std::string_view bytes) const
{
    if (this->parsed == side::requests || this->is_head_complete) {
        return bytes;
    }
    // Where a response's head ends is known only once its last line has been parsed.
    const auto line_feed = bytes.find('\n');
    return line_feed == std::string_view::npos ? bytes : bytes.substr(0, line_feed + 1);
}

std::size_t message_parser::feed_part(std::string_view part)
{
    this->begun = true;
    if (this->parsed == side::responses && !this->is_head_complete && !this->head_check.accept(part)) {
        this->broken = true;
        return 0;
    }
    const auto used = http_parser_execute(&this->parser, &callbacks(), part.data(), part.size());
    const auto problem = HTTP_PARSER_ERRNO(&this->parser);
    if (this->complete) {
        http_parser_pause(&this->parser, 0);
    }
    else if (problem != HPE_OK || this->parser.upgrade != 0) {
        this->broken = true;
    }
    if (!this->is_head_complete) {
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
