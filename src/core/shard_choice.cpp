#include "coriander/shard_choice.hpp"

#include "coriander/digest.hpp"

#include <algorithm>
#include <cstddef>

namespace coriander {

std::size_t shard_rank(std::string_view shard, const std::string& self,
                       const std::vector<std::string>& members)
{
    const auto seed = stable_hash(shard);
    const auto own_hash = stable_hash(self, seed);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto& other) {
        return other != self && stable_hash(other, seed) > own_hash;
    }));
}

std::vector<std::string> top_members(std::string_view shard, std::vector<std::string> members,
                                     std::size_t count)
{
    const auto seed = stable_hash(shard);
    const auto size = std::min(count, members.size());
    std::partial_sort(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(size), members.end(),
        [&](const auto& a, const auto& b) { return stable_hash(a, seed) > stable_hash(b, seed); });
    members.resize(size);
    return members;
}

} // namespace coriander
