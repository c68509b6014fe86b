#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// What the host list says of a host's future.
enum class host_state {
    live,
    leaving, ///< Will be stopped: gets no new work.
};

/// What runs on a host.
enum class host_kind {
    engine, ///< One part of a replica.
    plain,  ///< A plain service, whole by itself.
    entry,  ///< An entry host of this system.
};

/// A host as the platform's host list shows it.
struct host_record {
    std::string id;
    std::string address; ///< `IP:port` of what runs there.
    std::string fabric_domain;
    std::string failure_domain;
    std::string service; ///< For plain services: whose targets these are.
    host_kind kind = host_kind::engine;
    host_state state = host_state::live;
};

/// What an engine's host says of itself.
struct host_report {
    std::string host;
    std::string incarnation; ///< New after every start of the engine.
    std::string replica;     ///< Empty: the host holds nothing.
    std::uint64_t generation = 0;
    std::uint64_t fence = 0; ///< The highest fencing number that it obeyed.
    bool ready = false;      ///< Loaded and able to generate.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// Parses the host list's answer. Hosts without an id or address are left out.
[[nodiscard]] std::vector<host_record> decode_host_list(const std::string& text);

/// Parses an engine's report; nothing when the text is not one.
[[nodiscard]] std::optional<host_report> decode_host_report(const std::string& text);

/// JSON text of a report.
[[nodiscard]] std::string encode_host_report(const host_report& report);

} // namespace coriander
