#pragma once

#include "coriander/finding.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// The settings of one process. The router and the controller of a host read the same file.
struct settings {
    std::string name; ///< The entry host's name.
    std::string failure_domain;
    std::string region;
    std::string address;         ///< The IP address at which others reach this host.
    std::uint16_t http_port = 0; ///< 0: any free port.
    std::uint16_t peer_port = 0;
    std::uint16_t controller_port = 0; ///< The controller's own HTTP port, for operators.
    unsigned threads = 2;
    std::string table_url;
    std::string object_url;
    std::string host_list_url;
    std::vector<std::string> peers; ///< `IP:port` of other entry hosts, used while the table is down.
    time_ms health_interval{500};
    time_ms health_window{2000};   ///< How long a host's last report is considered valid.
    time_ms refresh_interval{500}; ///< How often the table is read.
    time_ms lost_after{3000};      ///< A host that is silent for this long is replaced.
    time_ms dark_grace{10000};     ///< The wait before hosts are replaced when most of a domain falls silent.
    time_ms lease_duration{5000};
    time_ms address_ttl{10000};      ///< How long callers may cache the list of entry hosts.
    time_ms drain_limit{120000};     ///< The longest wait for open streams at a planned stop.
    time_ms reform_interval{500};    ///< The minimum time between two replica changes in a shard.
    bool targets_check_fence = true; ///< Whether the engines reject old fencing numbers.
    std::string log_level = "INFO";
    std::string log_file; ///< Empty: standard error.
};

/// The result of a check. Usable only when there are no findings.
struct checked_settings {
    settings values;
    findings faults;
};

/// Reads settings from TOML and validates all of them. All faults are reported together.
[[nodiscard]] checked_settings parse_settings(std::string_view toml, std::string_view file);

} // namespace coriander
