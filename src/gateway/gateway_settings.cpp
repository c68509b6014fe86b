#include "gateway/gateway_settings.hpp"

#include "core/toml_checker.hpp"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <cstddef>

namespace coriander {
namespace {

constexpr number_range port_range{0, 65535};
constexpr number_range stop_range_ms{1000, 3'600'000};
constexpr number_range leaving_range_ms{200, 60'000};
constexpr number_range heartbeat_range_ms{10, 60'000};
constexpr number_range ttl_range_ms{200, 60'000};
constexpr number_range window_range_ms{1000, 600'000};
constexpr number_range ratio_range{0.0, 10.0};
constexpr number_range allowance_range{0.0, 1e6};
constexpr number_range link_range{0.0, 1e6};
constexpr number_range share_range{0.0, 1e4};
constexpr number_range memory_range_mb{0, 10'000'000};
constexpr number_range files_range{0, 10'000'000};

const toml::table& required_section(toml_checker& check, const toml::table& document, std::string_view name)
{
    static const toml::table empty;
    const auto* table = document.get_as<toml::table>(name);
    if (table == nullptr) {
        check.report(document, "the section [" + std::string{name} + "] is missing");
        return empty;
    }
    return *table;
}

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    asio::error_code problem;
    asio::ip::make_address(text.substr(0, colon), problem);
    return colon != std::string::npos && !problem;
}

std::string read_address(toml_checker& check, const toml::table& table, const char* key, bool is_required)
{
    auto text = is_required ? check.required_text(table, key) : check.optional_text(table, key, "");
    if (!text.empty() && !is_address(text)) {
        check.report(table, key, "'" + std::string{key} + "' must be written as \"IP:port\"");
    }
    return text;
}

void read_entry_host(toml_checker& check, const toml::table& document, gateway_settings& values)
{
    const auto& table = required_section(check, document, "entry_host");
    check.reject_unknown(table, {"name", "failure_domain", "region", "ip", "callers", "readiness",
                                 "directory", "metrics", "peer_port", "seeds", "first_start", "link_mbps",
                                 "processor_share", "memory_mb", "max_open_files"});
    values.name = check.required_text(table, "name");
    values.failure_domain = check.required_text(table, "failure_domain");
    values.region = check.optional_text(table, "region", "default");
    values.ip = check.required_text(table, "ip");
    values.callers_address = read_address(check, table, "callers", true);
    values.readiness_address = read_address(check, table, "readiness", true);
    values.directory_address = read_address(check, table, "directory", false);
    values.metrics_address = read_address(check, table, "metrics", false);
    values.peer_port = static_cast<std::uint16_t>(check.integer(table, "peer_port", 0, port_range));
    values.is_first_start = check.boolean(table, "first_start", false);
    values.link_mbps = check.number(table, "link_mbps", 0.0, link_range);
    values.processor_share = check.number(table, "processor_share", 0.0, share_range);
    values.memory_mb = static_cast<unsigned>(check.integer(table, "memory_mb", 0, memory_range_mb));
    values.max_open_files = static_cast<unsigned>(check.integer(table, "max_open_files", 0, files_range));
    if (const auto* seeds = table.get_as<toml::array>("seeds")) {
        for (const auto& item : *seeds) {
            const auto seed = item.value<std::string>().value_or("");
            if (!is_address(seed)) {
                check.report(item, "a seed must be written as \"IP:port\"");
            }
            values.seeds.push_back(seed);
        }
    }
}

void read_limits(toml_checker& check, const toml::table& document, gateway_settings& values)
{
    const auto& stop = required_section(check, document, "stop");
    check.reject_unknown(stop, {"limit"});
    values.stop_limit = check.duration(stop, "limit", values.stop_limit, stop_range_ms);
    const auto& directory = required_section(check, document, "directory");
    check.reject_unknown(directory, {"ttl"});
    values.directory_ttl = check.duration(directory, "ttl", values.directory_ttl, ttl_range_ms);
    const auto& retries = required_section(check, document, "retries");
    check.reject_unknown(retries, {"ratio", "allowance", "window"});
    values.retries.ratio = check.number(retries, "ratio", values.retries.ratio, ratio_range);
    values.retries.allowance = check.number(retries, "allowance", values.retries.allowance, allowance_range);
    values.retries.window = check.duration(retries, "window", values.retries.window, window_range_ms);
}

} // namespace

checked_gateway_settings parse_gateway_settings(std::string_view toml, std::string_view file)
{
    toml_checker check{file};
    checked_gateway_settings result;
    const auto document = check.parse(toml);
    check.reject_unknown(
        document, {"entry_host", "platform", "stop", "directory", "retries", "callers", "places", "log"});
    read_entry_host(check, document, result.values);
    const auto& platform = required_section(check, document, "platform");
    check.reject_unknown(platform, {"store", "leaving_limit", "host_heartbeat"});
    result.values.leaving_limit =
        check.duration(platform, "leaving_limit", result.values.leaving_limit, leaving_range_ms);
    result.values.host_heartbeat =
        check.duration(platform, "host_heartbeat", result.values.host_heartbeat, heartbeat_range_ms);
    result.values.store_address = read_address(check, platform, "store", true);
    read_limits(check, document, result.values);
    if (const auto* callers = document.get_as<toml::table>("callers")) {
        check.reject_unknown(*callers, {"memory_mb", "connections"});
        result.values.callers_memory_mb =
            static_cast<unsigned>(check.integer(*callers, "memory_mb", 0, memory_range_mb));
        result.values.max_callers =
            static_cast<unsigned>(check.integer(*callers, "connections", 0, files_range));
    }
    if (const auto* places = document.get_as<toml::table>("places")) {
        check.reject_unknown(*places, {"kept"});
        const auto kept = check.optional_text(*places, "kept", "by_size");
        result.values.places = kept == "on"    ? place_keeping::on
                               : kept == "off" ? place_keeping::off
                                               : place_keeping::by_size;
        if (kept != "on" && kept != "off" && kept != "by_size") {
            check.report(*places, "kept", "'kept' must be \"by_size\", \"on\" or \"off\"");
        }
    }
    if (const auto* log = document.get_as<toml::table>("log")) {
        check.reject_unknown(*log, {"level"});
        result.values.log_level = check.optional_text(*log, "level", result.values.log_level);
    }
    result.faults = check.take();
    return result;
}

caller_bounds bounds_of(const gateway_settings& settings)
{
    constexpr std::size_t mb = 1U << 20U;
    /// Of the smallest entry hosts.
    constexpr std::size_t default_memory_mb = 160;
    constexpr std::size_t default_open_files = 4096;
    /// For the program's own files, and what is opened for a moment.
    constexpr std::size_t max_other_files = 200;
    constexpr std::size_t min_peer_bytes = 8 * mb; // Two of the largest messages.
    constexpr std::size_t max_buffered_responses = 32 * mb;
    const std::size_t memory = mb * (settings.memory_mb > 0 ? settings.memory_mb : default_memory_mb);
    const std::size_t files = settings.max_open_files > 0 ? settings.max_open_files : default_open_files;
    const std::size_t sockets = files - std::min(max_other_files, files / 4);
    caller_bounds bounds;
    bounds.callers = {memory / 4, sockets / 2};
    bounds.pages = {memory / 16, sockets * 15 / 100};
    bounds.peers = {sockets / 8, std::max(min_peer_bytes, memory / 16)};
    bounds.buffered_responses = std::min(max_buffered_responses, memory / 5);
    if (settings.callers_memory_mb > 0) {
        bounds.callers.bytes = mb * settings.callers_memory_mb;
    }
    if (settings.max_callers > 0) {
        bounds.callers.connections = settings.max_callers;
    }
    return bounds;
}

} // namespace coriander
