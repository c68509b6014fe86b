#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// One event of an engine's prefix cache.
struct cache_event {
    std::uint64_t number = 0; ///< Counts up without gaps at the engine.
    std::string prefix;
    bool stored = true; ///< False: evicted.
};

/// An engine's answer to the question for its cache events.
struct cache_answer {
    std::vector<cache_event> events;
    std::uint64_t last = 0;                        ///< Number of the engine's last event.
    std::optional<std::set<std::string>> prefixes; ///< All that it holds, when that was asked for.
};

/// Parses an engine's answer; nothing when the text is not one.
[[nodiscard]] std::optional<cache_answer> decode_cache_answer(const std::string& text);

/// Which targets hold which prompt prefixes, as far as their events tell. A hint: events come late and get
/// lost. Not thread-safe.
class prefix_index {
public:
    /// Takes events in. False when some are missing: what was known of the target is dropped, and the caller
    /// should ask for all its prefixes and give them to `replace`.
    [[nodiscard]] bool apply(const std::string& target, const std::vector<cache_event>& events,
                             std::uint64_t last);

    /// Sets all that a target holds, as of event `last`.
    void replace(const std::string& target, std::set<std::string> prefixes, std::uint64_t last);

    /// Takes an answer in: all that the target holds, or what happened since. After a gap the target's part
    /// is dropped, so that `last_event` asks for all of it.
    void update(const std::string& target, const cache_answer& answer);

    /// Drops a target.
    void remove(const std::string& target) { this->targets.erase(target); }

    /// Whether the target is known to hold the prefix.
    [[nodiscard]] bool holds(const std::string& target, const std::string& prefix) const;

    /// The last event taken in; 0 when a rescan is needed.
    [[nodiscard]] std::uint64_t last_event(const std::string& target) const;

private:
    struct target_cache {
        std::set<std::string> prefixes;
        std::uint64_t last = 0;
    };
    std::map<std::string, target_cache> targets;
};

} // namespace coriander
