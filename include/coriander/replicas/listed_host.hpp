#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// State of a host within the replica that it joined.
enum class host_phase {
    joining, ///< Loading its part of the model.
    ready,   ///< Its part is loaded.
    open,    ///< The replica accepts requests.
    closing, ///< The replica completes running requests and accepts no new ones.
    broken,  ///< The replica lost a host and stopped serving.
};

/// A host's membership in a replica, as the host reports it.
struct replica_part {
    std::string replica;
    std::uint64_t generation = 0;
    host_phase phase = host_phase::joining;
};

/// A host of an engine or of a plain service, as described by the platform's host list and by the host
/// itself.
struct listed_host {
    std::string id;
    std::string service;
    std::string address; ///< `IP:port`.
    std::string failure_domain;
    std::string fabric_domain;
    std::uint64_t incarnation = 0;   ///< Wall-clock time at which it started, in milliseconds.
    unsigned slots = 1;              ///< Number of requests that it runs concurrently.
    bool is_leaving = false;         ///< Will be stopped; gets no new work.
    bool is_ordered = false;         ///< It is carrying out an order.
    std::vector<std::string> staged; ///< Models whose weights are in the host's own memory.
    std::optional<replica_part> part;
    /// Model of the last replica that it was ready in since its start; it can join another replica of this
    /// model without delay.
    std::string warm_model;
    /// Whether the host itself reported this state recently. Otherwise the state comes from the host list,
    /// which may be stale.
    bool is_self_reported = false;
    time_ms cold_left{};  ///< For how long the host bears fewer requests, as of its entry.
    time_ms cold_until{}; ///< When that ends, by this daemon's clock; in the past if it isn't cold.
};

} // namespace coriander
