#pragma once

#include <cstdint>
#include <vector>

namespace coriander {

/// Asks the keeper of a target for a place there.
struct place_request {
    std::uint64_t id = 0;     ///< Chosen by the sender; names the place until it is released.
    std::uint64_t target = 0; ///< Hash of the target's id and generation.
    std::uint64_t customer = 0;
    std::uint16_t slots = 1; ///< Requests that the target runs concurrently.
    std::uint8_t rank = 0;   ///< Priority of the request; 0 is the highest.
    std::uint8_t tries = 0;  ///< Targets that had no place for the request before.
};

/// The answer to a `place_request`.
struct place_answer {
    std::uint64_t id = 0;
    bool is_granted = false;
};

/// Whether the first part of an answer came within its latency objective.
enum class answer_timing : std::uint8_t { unknown, in_time, late };

/// Gives a place back.
struct place_release {
    std::uint64_t id = 0;
    std::uint64_t target = 0;
    answer_timing timing = answer_timing::unknown;
};

/// What daemons and keepers of targets send each other about places.
struct place_message {
    std::vector<place_request> requests;
    std::vector<place_answer> answers;
    std::vector<place_release> releases;

    [[nodiscard]] bool empty() const noexcept
    {
        return this->requests.empty() && this->answers.empty() && this->releases.empty();
    }
};

} // namespace coriander
