#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// What a host does in the replica that it joined.
enum class host_phase {
    joining, ///< Loads its part of the model.
    ready,   ///< Loaded.
    open,    ///< Its replica takes requests.
    closing, ///< Its replica ends what runs and takes no more.
    broken,  ///< Its replica lost a host and gave up.
};

/// A host's part in a replica, as the host tells it.
struct replica_part {
    std::string replica;
    std::uint64_t generation = 0;
    host_phase phase = host_phase::joining;
};

/// An engine's or a plain service's host, as the platform's list and the host itself tell it.
struct listed_host {
    std::string id;
    std::string service;
    std::string address; ///< `IP:port`.
    std::string failure_domain;
    std::string fabric_domain;
    std::uint64_t incarnation = 0;   ///< Wall-clock time of its start, in milliseconds.
    unsigned slots = 1;              ///< Requests that it runs at once.
    bool is_leaving = false;         ///< Gets no new work.
    bool is_ordered = false;         ///< An order is in progress.
    std::vector<std::string> staged; ///< Models that it can load from its own memory.
    std::optional<replica_part> part;
    std::string warm_model; ///< Of the last replica that it was ready in since its start: it joins such a one
                            ///< at once.
    bool is_self_reported =
        false; ///< The host itself told this lately; otherwise it is from the list, which lags.
};

} // namespace coriander
