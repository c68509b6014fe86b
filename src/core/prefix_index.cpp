#include "coriander/prefix_index.hpp"

#include "core/json_text.hpp"

namespace coriander {

std::optional<cache_answer> decode_cache_answer(const std::string& text)
{
    const auto object = parse_object(text);
    if (!object || !object->contains("last")) {
        return std::nullopt;
    }
    cache_answer answer;
    answer.last = static_cast<std::uint64_t>(integer_member(*object, "last"));
    for (const auto& item : array_member(*object, "events")) {
        answer.events.push_back({static_cast<std::uint64_t>(integer_member(item, "number")),
                                 text_member(item, "prefix"), bool_member(item, "stored")});
    }
    if (object->contains("prefixes")) {
        answer.prefixes.emplace();
        for (const auto& item : array_member(*object, "prefixes")) {
            if (item.is_string()) {
                answer.prefixes->insert(item.get<std::string>());
            }
        }
    }
    return answer;
}

void prefix_index::update(const std::string& target, const cache_answer& answer)
{
    if (answer.prefixes) {
        this->replace(target, *answer.prefixes, answer.last);
    }
    else {
        (void)this->apply(target, answer.events, answer.last);
    }
}

bool prefix_index::apply(const std::string& target, const std::vector<cache_event>& events,
                         std::uint64_t last)
{
    auto& cache = this->targets[target];
    for (const auto& event : events) {
        if (event.number <= cache.last) {
            continue;
        }
        if (event.number != cache.last + 1) {
            break;
        }
        cache.last = event.number;
        if (event.stored) {
            cache.prefixes.insert(event.prefix);
        }
        else {
            cache.prefixes.erase(event.prefix);
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
