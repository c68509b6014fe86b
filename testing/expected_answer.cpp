#include "expected_answer.hpp"

#include "coriander/digest.hpp"

#include <array>

namespace coriander {

std::string expected_token(std::string_view prompt, std::uint64_t index)
{
    static constexpr std::array words{"frame", "wheel", "order", "hymn",  "axle", "fold", "brake",  "page",
                                      "strap", "verse", "bolt",  "psalm", "grip", "line", "spring", "sheet"};
    const auto hash = stable_hash(prompt, index + 1);
    return std::string{words[hash % words.size()]} + std::to_string(hash / words.size() % 100) + " ";
}

std::string expected_answer(std::string_view prompt, std::uint64_t count)
{
    std::string answer;
    for (std::uint64_t i = 0; i < count; ++i) {
        answer += expected_token(prompt, i);
    }
    return answer;
}

} // namespace coriander
