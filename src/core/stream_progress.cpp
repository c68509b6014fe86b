#include "coriander/stream_progress.hpp"

namespace coriander {

void stream_progress::begin_attempt(std::string_view attempt)
{
    this->current_attempt = attempt;
}

stream_step stream_progress::accept(const stream_event& event)
{
    if (this->complete || event.attempt != this->current_attempt) {
        return stream_step::drop;
    }
    if (event.is_end) {
        this->complete = event.index == this->next;
        return this->complete ? stream_step::finish : stream_step::abort_attempt;
    }
    if (event.index < this->next) {
        return stream_step::drop;
    }
    if (event.index > this->next) {
        return stream_step::abort_attempt;
    }
    ++this->next;
    this->emitted += event.text;
    return stream_step::emit;
}

} // namespace coriander
