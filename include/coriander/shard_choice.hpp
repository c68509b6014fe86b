#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// The rank of `self` among `members` for a shard; rank 0 is the preferred holder. All daemons that know the
/// same members compute the same ranks, and each shard has its own ranking (rendezvous hashing).
[[nodiscard]] std::size_t shard_rank(std::string_view shard, const std::string& self,
                                     const std::vector<std::string>& members);

/// The first `count` of `members` in order of `shard_rank`, or all of them when there are fewer.
[[nodiscard]] std::vector<std::string> top_members(std::string_view shard, std::vector<std::string> members,
                                                   std::size_t count);

/// The number of top-ranked daemons that compete for a shard's lease. The others do not read its row.
constexpr std::size_t lease_candidates = 3;

} // namespace coriander
