#pragma once

#include "coriander/event.hpp"
#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/listed_host.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_view.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// Each of these functions logs one event. They log decisions on a domain's replicas and changes of the
/// assumed state of a host. Thread-safe.
void log_placement(const domain_key& key, const domain_reason& reason, row_version version,
                   const fleet_view& view, time_ms now);
/// Logs that a host is treated as lost after `unanswered` consecutive probes or orders without an answer.
void log_silent_host(const std::string& host, const char* reason, unsigned unanswered, const fleet_view& view,
                     time_ms now);
/// Logs that a silent host refuses connections.
void log_ended_host(const std::string& host);
/// Logs the domain's replicas to which the event applies if they differ from `logged`, and updates it.
void log_replicas(event kind, const domain_key& key, std::vector<std::string>& logged,
                  const std::vector<std::string>& replicas);
void log_order(const host_order& order, order_answer answer);
/// Logs that the domain's record is older than what its hosts report, or is no longer treated so.
void log_outdated_record(const domain_key& key, const versioned_domain& domain, bool is_outdated);
void log_idle_hosts(const std::string& service, std::span<const listed_host* const> free,
                    const std::string& held_models, std::size_t to_load, std::size_t loading);

/// The number of hosts that hold each model, as text, such as `large:2,nothing:1`.
[[nodiscard]] std::string held_models_text(std::span<const listed_host* const> hosts);

} // namespace coriander
