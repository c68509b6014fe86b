#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// One event from an engine's prefix cache.
struct cache_event {
    std::uint64_t number = 0; ///< Sequence number, without gaps at the engine.
    std::string prefix;
    bool stored = true; ///< False if the prefix was evicted.
};

/// An engine's response to a request for its cache events.
struct cache_answer {
    std::vector<cache_event> events;
    std::uint64_t last = 0;                        ///< Sequence number of the engine's last event.
    std::optional<std::set<std::string>> prefixes; ///< All cached prefixes, if they were requested.
};

/// Parses an engine's response; nothing if the text is not a valid one.
[[nodiscard]] std::optional<cache_answer> decode_cache_answer(const std::string& text);

/// Tracks which targets have which prompt prefixes cached, based on their events. The result is only a hint,
/// since events may be late or lost. Not thread-safe.
class prefix_index {
public:
    /// Applies a target's events. Returns false if some are missing: the target's entry is then removed, and
    /// the caller should request all its prefixes and pass them to `replace`.
    [[nodiscard]] bool apply(const std::string& target, const std::vector<cache_event>& events,
                             std::uint64_t last);

    /// Replaces a target's prefixes with a snapshot as of event `last`.
    void replace(const std::string& target, std::set<std::string> prefixes, std::uint64_t last);

    /// Processes a response, which has either a snapshot or the events since the last one. After a gap the
    /// target's entry is removed, so that `last_event` returns 0 and the caller requests a snapshot.
    void update(const std::string& target, const cache_answer& answer);

    /// Removes a target.
    void remove(const std::string& target) { this->targets.erase(target); }

    /// Whether the target is known to have the prefix cached.
    [[nodiscard]] bool holds(const std::string& target, const std::string& prefix) const;

    /// Sequence number of the last event applied; 0 if a snapshot is needed.
    [[nodiscard]] std::uint64_t last_event(const std::string& target) const;

private:
    struct target_cache {
        std::set<std::string> prefixes;
        std::uint64_t last = 0;
    };
    std::map<std::string, target_cache> targets;
};

} // namespace coriander
