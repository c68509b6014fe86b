#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// This daemon's place among `members` for a shard: 0 is the one that should hold it. All daemons that know
/// the same members agree, and each shard falls to another order of them (rendezvous hashing).
[[nodiscard]] std::size_t shard_rank(std::string_view shard, const std::string& self,
                                     const std::vector<std::string>& members);

/// How many daemons watch a shard's lease: the others don't even read it.
constexpr std::size_t shard_watchers = 3;

} // namespace coriander
