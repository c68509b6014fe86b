#pragma once

#include "coriander/finding.hpp"
#include "coriander/relay/retry_window.hpp"
#include "coriander/time_ms.hpp"
#include "net/caller_budget.hpp"
#include "peer/peer_link.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Whether targets' places are kept by one daemon for all.
enum class place_keeping {
    by_size, ///< If there are so many gateways that each sees only a small part of the requests.
    on,
    off,
};

/// The settings of a gateway process.
struct gateway_settings {
    std::string name; ///< The entry host's name.
    std::string failure_domain;
    std::string region;
    std::string ip;
    std::string callers_address;    ///< `IP:port` that callers send requests to.
    std::string readiness_address;  ///< `IP:port` of the readiness page.
    std::string directory_address;  ///< `IP:port` of the directory of entry hosts; empty: not served.
    std::string metrics_address;    ///< `IP:port`; empty: not served.
    std::uint16_t peer_port = 0;    ///< Must be the same on all entry hosts.
    std::vector<std::string> seeds; ///< `IP:port` of peers to contact first.
    std::string store_address;      ///< `IP:port` of the platform's store.
    time_ms leaving_limit{2000};    ///< Time within which a leaving host stops getting new work.
    time_ms host_heartbeat{1200};   ///< How often hosts renew their entries in the store.
    double link_mbps = 0.0;         ///< Rate of the entry host's link; 0: not known.
    double processor_share = 0.0;   ///< Cores that the process may use; 0: not known.
    unsigned memory_mb = 0;         ///< Memory that the process may use; 0: not known.
    unsigned max_open_files = 0;    ///< Descriptors that the process may have; 0: not known.
    unsigned callers_memory_mb = 0; ///< Of that for all callers' connections; 0: a part of `memory_mb`.
    unsigned max_callers = 0;       ///< Callers' connections; 0: a part of `max_open_files`.
    bool is_first_start = false;    ///< The whole system is being started for the first time.
    time_ms stop_limit{8000};       ///< From the stop signal until the process is killed.
    time_ms directory_ttl{2000};    ///< How long callers may cache a directory response.
    retry_window_settings retries;
    place_keeping places = place_keeping::by_size;
    std::string log_level = "INFO";

    /// Whether the entry host can work for the others beside its callers: read the tables and control
    /// replicas. What a reader sends in a second while replicas are formed takes a link of 20 Mbit/s seconds.
    [[nodiscard]] bool is_strong() const noexcept
    {
        constexpr double min_link_mbps = 100.0;
        constexpr double min_processor_share = 0.4;
        return this->link_mbps >= min_link_mbps && this->processor_share >= min_processor_share;
    }
};

/// Bounds of what callers hold and open, as set or as they follow from the entry host.
struct caller_bounds {
    caller_budget_limits callers;
    caller_budget_limits pages; ///< Of the directory, readiness and metrics together.
    peer_link_limits peers;
    std::size_t buffered_responses = 0; ///< Bytes of responses that are forwarded only once complete.
};

/// The bounds for an entry host; where its memory or descriptors are not known, those of the smallest one.
[[nodiscard]] caller_bounds bounds_of(const gateway_settings& settings);

/// The result of parsing: `values` is usable only if `faults` is empty.
struct checked_gateway_settings {
    gateway_settings values;
    findings faults;
};

/// Parses and validates a gateway's settings from TOML; `file` is named in the findings. Reports all faults,
/// not just the first.
[[nodiscard]] checked_gateway_settings parse_gateway_settings(std::string_view toml, std::string_view file);

} // namespace coriander
