#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/listed_host.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_view.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace coriander {

/// One log line for each decision on a domain's replicas, and for each change of what is believed of a host.
/// Thread-safe.
void log_placement(const domain_key& key, const domain_reason& reason, std::uint64_t row_version,
                   const fleet_view& view, time_ms now);
/// The host is taken as lost after so many questions or orders in a row without an answer.
void log_silent_host(const std::string& host, const char* why, unsigned unanswered, const fleet_view& view,
                     time_ms now);
void log_order(const host_order& order, order_answer answer);
void log_idle_hosts(const std::string& service, std::span<const listed_host* const> free,
                    const std::string& held, std::size_t to_load, std::size_t loading);

/// How many of the hosts hold each model, as text.
[[nodiscard]] std::string held_models_text(std::span<const listed_host* const> hosts);

} // namespace coriander
