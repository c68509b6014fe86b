#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace coriander {

/// Identifies one incarnation of a host at one address. What a host states about itself holds for that only.
using host_key = std::uint64_t;

/// The key of a host, the same on every daemon. Thread-safe.
[[nodiscard]] host_key key_of_host(std::string_view id, std::uint64_t incarnation, std::string_view address);

/// What hosts have stated about themselves in their responses, until it ends. The host list does not change
/// it: it lags behind, and may be an old copy. Not thread-safe.
class target_statements {
public:
    /// Beyond this number of hosts, the one whose last statement is the oldest is forgotten.
    static constexpr std::size_t max_hosts = 4096;

    /// Records that the host leaves, as stated at `now`. Never ends: another incarnation has another key.
    /// Returns whether it was not known before.
    bool on_leaving(host_key host, time_ms now);

    /// Whether the host has stated that it leaves.
    [[nodiscard]] bool is_leaving(host_key host) const;

    /// The number of hosts with a statement.
    [[nodiscard]] std::size_t size() const noexcept { return this->hosts.size(); }

private:
    struct host_statement {
        time_ms stated_at; ///< The last time.
        bool is_leaving = false;
    };

    /// The entry of the host, created if there is none.
    host_statement& entry_of(host_key host, time_ms now);

    std::unordered_map<host_key, host_statement> hosts;
};

} // namespace coriander
