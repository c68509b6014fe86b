#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

// The stand-in engine's answer depends only on the prompt, so a reader can tell which prompt an answer
// belongs to and whether it is complete.

/// Returns the token at `index` of the answer, with a trailing space.
[[nodiscard]] std::string expected_token(std::string_view prompt, std::uint64_t index);

/// Returns the first `count` tokens of the answer.
[[nodiscard]] std::string expected_answer(std::string_view prompt, std::uint64_t count);

} // namespace coriander
