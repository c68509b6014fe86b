#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// Whether the host list announces that a host will be stopped.
enum class host_state {
    live,
    leaving, ///< Will be stopped; gets no new work.
};

/// What runs on a host.
enum class host_kind {
    engine, ///< A host of a replica.
    plain,  ///< A target of a plain service, which doesn't depend on other hosts.
    entry,  ///< An entry host of this system.
};

/// A host as described by the platform's host list.
struct host_record {
    std::string id;
    std::string address; ///< `IP:port` of what runs there.
    std::string fabric_domain;
    std::string failure_domain;
    std::string service; ///< For plain services: the service that the host is a target of.
    host_kind kind = host_kind::engine;
    host_state state = host_state::live;
};

/// State of an engine's host, as reported by itself.
struct host_report {
    std::string host;
    std::string incarnation; ///< Changes with every start of the engine.
    std::string replica;     ///< Empty: the host holds no replica.
    std::uint64_t generation = 0;
    std::uint64_t fence = 0; ///< The highest fencing number among the orders that it carried out.
    bool ready = false;      ///< Loaded and able to generate.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// Parses the host list's response. Hosts without an id or address are skipped.
[[nodiscard]] std::vector<host_record> decode_host_list(const std::string& text);

/// Parses an engine's report. Returns nothing if the text is not a valid report.
[[nodiscard]] std::optional<host_report> decode_host_report(const std::string& text);

/// Returns the report as JSON text.
[[nodiscard]] std::string encode_host_report(const host_report& report);

} // namespace coriander
