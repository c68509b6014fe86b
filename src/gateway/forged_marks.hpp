#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <optional>
#include <utility>

namespace coriander {

/// Counts requests with a mark that no gateway has made for them, so that however many there are, few lines
/// are logged. Not thread-safe.
class forged_marks {
public:
    /// Time between two lines: short enough to see when it began and ended.
    static constexpr time_ms report_interval{10000};

    /// Counts one more. Returns the number since the last line if a line is due.
    [[nodiscard]] std::optional<std::size_t> add(time_ms now)
    {
        ++this->unreported;
        if (this->reported_at && now - *this->reported_at < report_interval) {
            return std::nullopt;
        }
        this->reported_at = now;
        return std::exchange(this->unreported, 0);
    }

private:
    std::size_t unreported = 0;
    std::optional<time_ms> reported_at;
};

} // namespace coriander
