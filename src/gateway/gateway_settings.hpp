#pragma once

#include "coriander/finding.hpp"
#include "coriander/relay/retry_window.hpp"
#include "coriander/time_ms.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// One gateway process's settings.
struct gateway_settings {
    std::string name; ///< The entry host's name.
    std::string failure_domain;
    std::string region;
    std::string ip;
    std::string callers_address;    ///< `IP:port` where callers' requests arrive.
    std::string readiness_address;  ///< `IP:port` of the readiness page.
    std::string directory_address;  ///< `IP:port` where callers ask which entry hosts to use.
    std::string metrics_address;    ///< `IP:port`; empty: not served.
    std::uint16_t peer_port = 0;    ///< The same on all entry hosts.
    std::vector<std::string> seeds; ///< `IP:port` of entry hosts to begin with.
    std::string store_address;      ///< `IP:port` of the platform's store.
    time_ms leaving_limit{2000};    ///< A leaving host gets nothing new after this time.
    bool is_first_start = false;    ///< The whole system starts for the first time.
    time_ms stop_limit{8000};       ///< From the stop signal to the end of the process.
    time_ms directory_ttl{2000};    ///< How long callers keep an answer of the directory.
    retry_window_settings retries;
    std::string log_level = "INFO";
};

/// The outcome of a check: usable when there are no findings.
struct checked_gateway_settings {
    gateway_settings values;
    findings faults;
};

/// Reads a gateway's settings from TOML and checks them whole; all faults are reported together.
[[nodiscard]] checked_gateway_settings parse_gateway_settings(std::string_view toml, std::string_view file);

} // namespace coriander
