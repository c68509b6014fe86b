#include "gateway/response_stream.hpp"

#include <algorithm>
#include <string>

namespace coriander {

void response_stream::send_whole(int status, std::vector<http_header> headers, std::string_view body)
{
    this->caller->send(status, std::move(headers), body);
}

void response_stream::pass(std::string_view bytes, const message_head& head, time_ms now)
{
    std::string passed;
    this->framer.feed(bytes, [&](std::string_view event, std::optional<std::uint64_t> number) {
        this->numbered_count += number ? 1 : 0;
        const bool is_duplicate = number && this->last && *number <= *this->last;
        if (!is_duplicate) {
            passed.append(event);
            this->last = number ? number : this->last;
            ++this->event_count;
        }
    });
    if (!passed.empty()) {
        this->begin(head, now);
        this->max_gap = std::max(this->max_gap, now - std::max(this->last_at, this->first_at));
        this->last_at = now;
        this->caller->append(passed);
    }
}

void response_stream::finish(const message_head& head, time_ms now)
{
    this->begin(head, now);
    this->caller->append(this->framer.take_partial());
    this->caller->finish_stream();
}

void response_stream::begin(const message_head& head, time_ms now)
{
    if (!this->form) {
        this->form = form_of(head);
        this->first_at = now;
        this->caller->begin_stream(head.status, forwarded_response_headers(head));
    }
}

} // namespace coriander
