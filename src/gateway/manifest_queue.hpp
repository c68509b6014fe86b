#pragma once

#include "coriander/time_ms.hpp"
#include "gateway/manifest_source.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace coriander {

/// A manifest that was received and is not in force yet.
struct received_manifest {
    manifest_source source = manifest_source::table;
    std::string text;
    std::uint64_t version = 0; ///< As the peer states it; 0 if it came from the table.
    time_ms received_at;
};

/// Decides which received manifest is put in force next, and when. Of several that arrive before one is
/// taken, only the newest is: a later one replaces all that came before it. Putting a large manifest in force
/// takes a small machine tens of milliseconds, so that a series of changes would keep it from its requests;
/// after each one, requests get at least `rest_factor` times as long. Not thread-safe.
class manifest_queue {
public:
    /// Receives the table's manifest. The table holds one version; a later one replaces it.
    void on_table(std::string text, time_ms now)
    {
        this->skipped += this->from_table ? 1 : 0;
        this->from_table = received_manifest{manifest_source::table, std::move(text), 0, now};
    }

    /// Receives a peer's manifest. One that is no newer than `in_force` is ignored.
    void on_peer(std::uint64_t version, std::string text, std::uint64_t in_force, time_ms now)
    {
        const auto newest = std::max(in_force, this->from_peer ? this->from_peer->version : 0);
        if (version > newest) {
            this->skipped += this->from_peer ? 1 : 0;
            this->from_peer = received_manifest{manifest_source::peer, std::move(text), version, now};
        }
    }

    /// Whether a manifest waits to be put in force.
    [[nodiscard]] bool has_next() const noexcept { return this->from_table || this->from_peer; }

    /// When the next one may be taken.
    [[nodiscard]] time_ms due_at() const noexcept { return this->rests_until; }

    /// Takes the next manifest, if one is due. The table's comes first: usually it is the newest.
    [[nodiscard]] std::optional<received_manifest> take(std::uint64_t in_force, time_ms now)
    {
        if (now < this->rests_until) {
            return std::nullopt;
        }
        if (this->from_table) {
            return std::exchange(this->from_table, std::nullopt);
        }
        if (this->from_peer && this->from_peer->version <= in_force) {
            this->from_peer.reset();
        }
        return std::exchange(this->from_peer, std::nullopt);
    }

    /// Notes that putting a manifest in force took from `begun` to `now`.
    void on_applied(time_ms begun, time_ms now)
    {
        this->rests_until = now + std::min(max_rest, (now - begun) * rest_factor);
    }

    /// How many manifests were replaced by a newer one before they were put in force, since the last call.
    [[nodiscard]] std::size_t take_skipped() { return std::exchange(this->skipped, 0); }

private:
    static constexpr std::int64_t rest_factor = 4;
    /// A fraction of the shortest time limit for a manifest to come into force, which is 2 s.
    static constexpr time_ms max_rest{400};

    std::optional<received_manifest> from_table;
    std::optional<received_manifest> from_peer;
    time_ms rests_until;
    std::size_t skipped = 0;
};

} // namespace coriander
