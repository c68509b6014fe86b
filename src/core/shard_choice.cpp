#include "coriander/shard_choice.hpp"

#include "coriander/digest.hpp"

#include <algorithm>

namespace coriander {

std::size_t shard_rank(std::string_view shard, const std::string& self,
                       const std::vector<std::string>& members)
{
    const auto seed = stable_hash(shard);
    const auto own = stable_hash(self, seed);
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto& other) {
        return other != self && stable_hash(other, seed) > own;
    }));
}

} // namespace coriander
