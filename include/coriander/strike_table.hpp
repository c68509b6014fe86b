#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// Names a request by what it says, so that sending it again, also elsewhere, meets its history.
using request_digest = std::string;

/// How a request with a history is treated.
enum class strike_verdict {
    clear,   ///< Nothing is held against it.
    suspect, ///< It was there when a target died: run it alone.
    refused, ///< It killed targets while it ran alone.
};

/// One request's history, as routers tell it to each other.
struct strike_report {
    request_digest digest;
    std::uint32_t deaths = 0;       ///< Targets that died while it ran, alone or not.
    std::uint32_t deaths_alone = 0; ///< Those of them where it ran alone.
    bool cleared = false;           ///< It ended well after its last death.
};

/// Bounds of the table.
struct strike_settings {
    std::uint32_t max_deaths_alone = 2; ///< After so many the request is refused.
    time_ms retention{600000};
    std::size_t max_entries = 4096;
};

/// Finds requests that crash each target that runs them.
///
/// A death beside others only makes a suspect; a suspect runs alone, so that its next death is proof and its
/// success clears it. Reports of other routers are merged by the larger counts. Not thread-safe.
class strike_table {
public:
    explicit strike_table(strike_settings settings = {}) : settings{settings} {}

    /// How a request is to be treated now.
    [[nodiscard]] strike_verdict classify(const request_digest& digest, time_ms now) const;

    /// Counts a death of the target against every request that this router ran on it. `was_alone` tells that
    /// the only one was a suspect on probation: a request that merely was this router's only one on the
    /// target may have shared it with requests of other routers.
    void on_target_death(const std::vector<request_digest>& running, bool was_alone, time_ms now);

    /// A request ended well: it is not the cause.
    void on_success(const request_digest& digest, time_ms now);

    /// Takes another router's report in.
    void merge(const strike_report& report, time_ms now);

    /// The reports to tell others, newest first, at most `limit`.
    [[nodiscard]] std::vector<strike_report> recent(std::size_t limit, time_ms now) const;

private:
    struct history {
        strike_report report;
        time_ms changed;
    };

    void forget_old(time_ms now);

    strike_settings settings;
    std::map<request_digest, history> entries;
};

} // namespace coriander
