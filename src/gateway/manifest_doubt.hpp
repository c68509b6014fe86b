#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <optional>

namespace coriander {

/// Why this daemon may lack the newest manifest.
enum class manifest_doubt_cause {
    none,
    peer_is_ahead,     ///< A peer has a newer one.
    not_applied_yet,   ///< A newer one was received and waits to be put in force.
    table_unreachable, ///< The table has been out of reach for a short time.
};

/// The name used in log lines.
[[nodiscard]] constexpr const char* name_of(manifest_doubt_cause cause) noexcept
{
    switch (cause) {
    case manifest_doubt_cause::none:
        return "none";
    case manifest_doubt_cause::peer_is_ahead:
        return "peer_is_ahead";
    case manifest_doubt_cause::not_applied_yet:
        return "not_applied_yet";
    case manifest_doubt_cause::table_unreachable:
        return "table_unreachable";
    }
    return "unknown";
}

/// Whether the manifest in force may be outdated. While it may, a route or key that it lacks is no proof that
/// the caller is wrong: the request is refused as one that may come again. Each cause counts for a limited
/// time only, so that a wrong key is called so in the end. Not thread-safe.
class manifest_doubt {
public:
    /// Notes the highest version that a peer states to have in force.
    void on_peer_version(std::uint64_t version, time_ms now)
    {
        if (version > this->newest_of_peers) {
            this->newest_of_peers = version;
            this->peer_ahead_since = now;
        }
    }

    /// Notes whether the table of manifests can be reached.
    void on_table_reach(bool reaches, time_ms now)
    {
        if (reaches) {
            this->table_lost_at.reset();
        }
        else if (!this->table_lost_at) {
            this->table_lost_at = now;
        }
    }

    /// Notes that a manifest was received at `since` that is not in force yet; nothing: none is.
    void on_waiting(std::optional<time_ms> since) { this->waiting_since = since; }

    /// The cause that counts at `now`, for a daemon with the version `in_force`.
    [[nodiscard]] manifest_doubt_cause cause(std::uint64_t in_force, time_ms now) const
    {
        const auto is_recent = [&](const std::optional<time_ms>& since) {
            return since && now - *since < max_duration;
        };
        if (is_recent(this->waiting_since)) {
            return manifest_doubt_cause::not_applied_yet;
        }
        if (this->newest_of_peers > in_force && is_recent(this->peer_ahead_since)) {
            return manifest_doubt_cause::peer_is_ahead;
        }
        return is_recent(this->table_lost_at) ? manifest_doubt_cause::table_unreachable
                                              : manifest_doubt_cause::none;
    }

    /// How long a peer has been known to have a newer manifest than the one in force; zero if none has.
    [[nodiscard]] time_ms behind_peers_for(std::uint64_t in_force, time_ms now) const
    {
        const bool is_behind = this->newest_of_peers > in_force && this->peer_ahead_since;
        return is_behind ? now - *this->peer_ahead_since : time_ms{};
    }

    /// How long the cause has counted at `now`; zero if there is none.
    [[nodiscard]] time_ms age(manifest_doubt_cause cause, time_ms now) const
    {
        const auto since = cause == manifest_doubt_cause::not_applied_yet     ? this->waiting_since
                           : cause == manifest_doubt_cause::peer_is_ahead     ? this->peer_ahead_since
                           : cause == manifest_doubt_cause::table_unreachable ? this->table_lost_at
                                                                              : std::nullopt;
        return since ? now - *since : time_ms{};
    }

private:
    /// Longer than a manifest takes to reach a daemon through its peers if the table rejects it.
    static constexpr time_ms max_duration{6000};

    std::uint64_t newest_of_peers = 0;
    std::optional<time_ms> peer_ahead_since;
    std::optional<time_ms> table_lost_at;
    std::optional<time_ms> waiting_since;
};

} // namespace coriander
