#include "coriander/route_request.hpp"

namespace coriander {

const char* name_of(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::wait_too_long:
        return "wait_too_long";
    case refusal_reason::poisonous:
        return "poisonous";
    case refusal_reason::expired:
        return "expired";
    }
    return "unknown";
}

const char* name_of(attempt_outcome outcome) noexcept
{
    switch (outcome) {
    case attempt_outcome::succeeded:
        return "succeeded";
    case attempt_outcome::overloaded:
        return "overloaded";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::target_died:
        return "target_died";
    case attempt_outcome::abandoned:
        return "abandoned";
    }
    return "unknown";
}

} // namespace coriander
