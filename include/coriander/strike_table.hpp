#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// Identifies a request by its content, so that its history is found when it is sent again, also to another
/// router.
using request_digest = std::string;

/// How a request is treated, given its history.
enum class strike_verdict {
    clear,   ///< No unresolved strikes.
    suspect, ///< Was running when a target died; must run alone.
    refused, ///< Crashed targets while it ran alone.
};

/// One request's history, as exchanged between routers.
struct strike_report {
    request_digest digest;
    std::uint32_t deaths = 0;       ///< Targets that died while it ran, alone or with others.
    std::uint32_t deaths_alone = 0; ///< Those deaths at which it ran alone.
    bool cleared = false;           ///< It succeeded after the last death.
};

/// Limits of the table.
struct strike_settings {
    std::uint32_t max_deaths_alone = 2; ///< The request is refused from this count on.
    time_ms retention{600000};
    std::size_t max_entries = 4096;
};

/// Finds requests that crash each target that runs them.
///
/// A target's death only makes the requests that ran on it suspects. A suspect runs alone, so that a further
/// death is proof and a success clears it. Reports of other routers are merged by taking the larger counts.
/// Not thread-safe.
class strike_table {
public:
    explicit strike_table(strike_settings settings = {}) : settings{settings} {}

    /// How the request is treated at `now`.
    [[nodiscard]] strike_verdict classify(const request_digest& digest, time_ms now) const;

    /// Counts a target's death against each request that this router ran on it. `was_alone` must be true only
    /// if the request was a suspect on probation: this router's only request on the target may otherwise have
    /// run there together with requests of other routers.
    void on_target_death(const std::vector<request_digest>& running, bool was_alone, time_ms now);

    /// Records that a request succeeded, which clears it.
    void on_success(const request_digest& digest, time_ms now);

    /// Merges another router's report.
    void merge(const strike_report& report, time_ms now);

    /// The reports to send to other routers: at most `limit`, most recently changed first.
    [[nodiscard]] std::vector<strike_report> recent(std::size_t limit, time_ms now) const;

private:
    struct history {
        strike_report report;
        time_ms changed;
    };

    void erase_old_entries(time_ms now);

    strike_settings settings;
    std::map<request_digest, history> entries;
};

} // namespace coriander
