#pragma once

#include "coriander/relay/place_message.hpp"
#include "coriander/relay/rate_limit.hpp"

#include <cstdint>
#include <vector>

namespace coriander {

/// Asks for a permit to send one request to a target.
struct permit_request {
    std::uint64_t id = 0; ///< Chosen by the sender; returned in the answer.
    rate_limit limit;     ///< As known by the sender.
};

/// The answer to a `permit_request`.
struct permit_answer {
    std::uint64_t id = 0;
    permit_decision decision;
};

/// Permit requests and answers from one daemon to another.
struct permit_message {
    std::vector<permit_request> requests;
    std::vector<permit_answer> answers;
    place_message places{};

    [[nodiscard]] bool empty() const noexcept
    {
        return this->requests.empty() && this->answers.empty() && this->places.empty();
    }
};

} // namespace coriander
