#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

namespace coriander {

/// A span of time in which a store answered requests.
struct contact_span {
    time_ms since;
    time_ms until;
};

/// The times at which a store is known to have answered any of several daemons.
///
/// Distinguishes an outage of the store from the loss of one daemon's path to it: only a time in which no
/// daemon had contact is an outage. Not thread-safe.
class contact_history {
public:
    /// Contacts that are at most `max_gap` apart count as uninterrupted. Must not be negative.
    explicit contact_history(time_ms max_gap) : max_gap{max_gap} {}

    /// Adds a span, which must not end before it begins. Spans may overlap and may be added in any order: a
    /// late one can show that there was no outage.
    void add(contact_span span)
    {
        auto merged = span;
        std::erase_if(this->spans, [&](const contact_span& known) {
            const bool is_adjacent =
                known.since <= span.until + this->max_gap && span.since <= known.until + this->max_gap;
            if (is_adjacent) {
                merged.since = std::min(merged.since, known.since);
                merged.until = std::max(merged.until, known.until);
            }
            return is_adjacent;
        });
        const auto is_earlier = [](const contact_span& left, const contact_span& right) {
            return left.since < right.since;
        };
        this->spans.insert(std::upper_bound(this->spans.begin(), this->spans.end(), merged, is_earlier),
                           merged);
        if (this->spans.size() > max_spans) {
            this->spans.erase(this->spans.begin());
        }
    }

    /// When the latest uninterrupted contact began. Empty before the first contact.
    [[nodiscard]] std::optional<time_ms> since() const
    {
        return this->spans.empty() ? std::nullopt : std::optional{this->spans.back().since};
    }

    /// When contact was regained after the last outage. Empty if no outage is known.
    [[nodiscard]] std::optional<time_ms> regained_at() const
    {
        return this->spans.size() > 1 ? this->since() : std::nullopt;
    }

private:
    /// Late reports concern the latest spans only.
    static constexpr std::size_t max_spans = 4;

    time_ms max_gap;
    std::vector<contact_span> spans; ///< Sorted, and more than `max_gap` apart.
};

} // namespace coriander
