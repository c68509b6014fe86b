#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// This daemon's place among `members` for a shard: 0 is the one that should hold it. All daemons that know
/// the same members agree, and each shard falls to another order of them (rendezvous hashing).
[[nodiscard]] std::size_t shard_rank(std::string_view shard, const std::string& self,
                                     const std::vector<std::string>& members);

/// The first `count` of `members` in the order that `shard_rank` gives, or all when there are fewer.
[[nodiscard]] std::vector<std::string> top_members(std::string_view shard, std::vector<std::string> members,
                                                   std::size_t count);

/// How many daemons watch a shard's lease: the others don't even read it.
constexpr std::size_t lease_candidates = 3;

} // namespace coriander
