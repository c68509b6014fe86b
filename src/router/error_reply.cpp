#include "router/error_reply.hpp"

#include "core/json_text.hpp"

#include <algorithm>

namespace coriander {
namespace {

constexpr std::int64_t ms_per_second = 1000;

const char* name_of(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::unknown:
        return "unknown";
    case run_state::failed:
        return "failed";
    }
    return "unknown";
}

std::string whole_seconds(time_ms length)
{
    return std::to_string(std::max<std::int64_t>(1, (length.count() + ms_per_second - 1) / ms_per_second));
}

} // namespace

std::string error_json(const caller_error& error)
{
    json_object inner{{"type", error.type}, {"run", name_of(error.run)}, {"message", error.message}};
    if (error.retry_after) {
        inner["retry_after_ms"] = error.retry_after->count();
    }
    json_object outer;
    outer["error"] = std::move(inner);
    return to_text(outer);
}

http_response error_response(const caller_error& error)
{
    http_response response{error.status, "application/json", error_json(error), {}};
    if (error.retry_after) {
        response.headers.push_back({"Retry-After", whole_seconds(*error.retry_after)});
    }
    return response;
}

} // namespace coriander
