#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Tells live writers from dead ones by whether their rows change, without comparing clocks between hosts.
/// Not thread-safe.
class row_freshness {
public:
    explicit row_freshness(time_ms window) : window{window} {}

    /// Takes in the version that a row has now.
    void observe(const std::string& key, std::uint64_t version, time_ms now)
    {
        auto& seen = this->rows[key];
        if (seen.version != version) {
            seen = {version, now};
        }
    }

    /// Whether the row changed within the window. A row that was never observed is not fresh.
    [[nodiscard]] bool is_fresh(const std::string& key, time_ms now) const
    {
        const auto found = this->rows.find(key);
        return found != this->rows.end() && now - found->second.changed <= this->window;
    }

private:
    struct seen_row {
        std::uint64_t version = 0;
        time_ms changed;
    };
    time_ms window;
    std::map<std::string, seen_row> rows;
};

} // namespace coriander
