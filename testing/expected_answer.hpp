#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriander {

/// The engine stand-in's answer depends on the prompt alone, so that whoever reads one can tell whose it is
/// and whether it is whole.

/// The token at a place of the answer, with the space behind it.
[[nodiscard]] std::string expected_token(std::string_view prompt, std::uint64_t index);

/// The whole answer of `count` tokens.
[[nodiscard]] std::string expected_answer(std::string_view prompt, std::uint64_t count);

} // namespace coriander
