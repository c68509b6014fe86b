#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <optional>

namespace coriander {

/// Decides whether to believe that most hosts of a shard died at once.
///
/// A controller that loses sight of most hosts suspects itself first: it gives the shard to another, and acts
/// on the loss only when it has lasted for `grace`, whoever looks. Not thread-safe.
class outage_monitor {
public:
    explicit outage_monitor(time_ms grace) : grace{grace} {}

    /// Takes in how many of the shard's hosts are silent and how many were heard. Those that are neither,
    /// because this controller has only begun to look, change nothing: darkness that was seen before lasts
    /// on.
    void observe(std::size_t silent, std::size_t heard, std::size_t total, time_ms now)
    {
        const bool is_dark = total > 1 && silent * 2 > total;
        if (heard * 2 >= total) {
            this->since.reset();
        }
        else if (is_dark && !this->since) {
            this->since = now;
        }
    }

    /// Whether the shard went dark and is still being waited for.
    [[nodiscard]] bool in_grace_period(time_ms now) const
    {
        return this->since && now - *this->since < this->grace;
    }

    /// Whether it went dark just now, which is the time to let another controller look.
    [[nodiscard]] bool just_started(time_ms now) const { return this->since && *this->since == now; }

private:
    time_ms grace;
    std::optional<time_ms> since;
};

} // namespace coriander
