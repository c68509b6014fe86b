#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Distinguishes live writers from dead ones by whether their rows change, without comparing clocks of hosts.
/// Not thread-safe.
class row_freshness {
public:
    explicit row_freshness(time_ms window) : window{window} {}

    /// Records the current version of a row.
    void observe(const std::string& key, std::uint64_t version, time_ms now)
    {
        auto& last = this->rows[key];
        if (last.version != version) {
            last = {version, now};
        }
    }

    /// Whether a change of the row was observed within the window. A row that was never observed is not
    /// fresh.
    [[nodiscard]] bool is_fresh(const std::string& key, time_ms now) const
    {
        const auto found = this->rows.find(key);
        return found != this->rows.end() && now - found->second.changed <= this->window;
    }

private:
    struct observation {
        std::uint64_t version = 0;
        time_ms changed;
    };
    time_ms window;
    std::map<std::string, observation> rows;
};

} // namespace coriander
