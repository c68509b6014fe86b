#include "coriander/prefix_index.hpp"

namespace coriander {

bool prefix_index::apply(const std::string& target, const std::vector<cache_event>& events,
                         std::uint64_t last)
{
    auto& cache = this->targets[target];
    for (const auto& one : events) {
        if (one.number <= cache.last) {
            continue;
        }
        if (one.number != cache.last + 1) {
            break;
        }
        cache.last = one.number;
        if (one.stored) {
            cache.prefixes.insert(one.prefix);
        }
        else {
            cache.prefixes.erase(one.prefix);
        }
    }
    if (cache.last != last) {
        this->targets.erase(target);
        return false;
    }
    return true;
}

void prefix_index::replace(const std::string& target, std::set<std::string> prefixes, std::uint64_t last)
{
    this->targets[target] = {std::move(prefixes), last};
}

bool prefix_index::holds(const std::string& target, const std::string& prefix) const
{
    const auto found = this->targets.find(target);
    return found != this->targets.end() && found->second.prefixes.contains(prefix);
}

std::uint64_t prefix_index::last_event(const std::string& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? 0 : found->second.last;
}

} // namespace coriander
