#include "coriander/settings.hpp"

#include "core/toml_checker.hpp"

#include <asio/ip/address.hpp>

namespace coriander {
namespace {

constexpr number_range port_range{0, 65535};
constexpr number_range thread_range{1, 256};
constexpr number_range interval_range_ms{20, 60'000};
constexpr number_range lease_range_ms{500, 60'000};
constexpr number_range long_interval_range_ms{100, 3'600'000};

const toml::table& section(toml_checker& check, const toml::table& document, std::string_view name)
{
    static const toml::table empty;
    const auto* node = document.get(name);
    if (node == nullptr) {
        return empty;
    }
    if (const auto* table = node->as_table()) {
        return *table;
    }
    check.report(*node,
                 "'" + std::string{name} + "' must be a section, written as [" + std::string{name} + "]");
    return empty;
}

void read_host(toml_checker& check, const toml::table& document, settings& values)
{
    if (!document.contains("entry_host")) {
        check.report(document, "the section [entry_host] is missing");
        return;
    }
    const auto& table = section(check, document, "entry_host");
    check.reject_unknown(table, {"name", "failure_domain", "region", "address", "http_port", "peer_port",
                                 "controller_port", "threads", "peers"});
    values.name = check.required_text(table, "name");
    values.failure_domain = check.required_text(table, "failure_domain");
    values.region = check.optional_text(table, "region", "default");
    values.address = check.required_text(table, "address");
    asio::error_code ec;
    asio::ip::make_address(values.address, ec);
    if (!values.address.empty() && ec) {
        check.report(table, "address", "'address' must be an IP number, not '" + values.address + "'");
    }
    values.http_port = static_cast<std::uint16_t>(check.integer(table, "http_port", 0, port_range));
    values.peer_port = static_cast<std::uint16_t>(check.integer(table, "peer_port", 0, port_range));
    values.controller_port =
        static_cast<std::uint16_t>(check.integer(table, "controller_port", 0, port_range));
    if (values.http_port != 0 && values.http_port == values.peer_port) {
        check.report(table, "peer_port", "'peer_port' must differ from 'http_port'");
    }
    values.threads = static_cast<unsigned>(check.integer(table, "threads", values.threads, thread_range));
    if (const auto* peers = table.get("peers")) {
        const auto* list = peers->as_array();
        if (list == nullptr) {
            check.report(*peers, "'peers' must be a list of \"IP:port\"");
            return;
        }
        for (const auto& item : *list) {
            const auto peer = item.value<std::string>().value_or("");
            if (peer.find(':') == std::string::npos) {
                check.report(item, "a peer must be written as \"IP:port\"");
            }
            values.peers.push_back(peer);
        }
    }
}

void read_platform(toml_checker& check, const toml::table& document, settings& values)
{
    if (!document.contains("platform")) {
        check.report(document, "the section [platform] is missing");
        return;
    }
    const auto& table = section(check, document, "platform");
    check.reject_unknown(table, {"table_url", "object_url", "host_list_url"});
    const auto url = [&](const char* key) {
        auto text = check.required_text(table, key);
        if (!text.empty() && !text.starts_with("http://") && !text.starts_with("https://")) {
            check.report(table, key, "'" + std::string{key} + "' must begin with http:// or https://");
        }
        return text;
    };
    values.table_url = url("table_url");
    values.object_url = url("object_url");
    values.host_list_url = url("host_list_url");
}

void read_timing(toml_checker& check, const toml::table& document, settings& values)
{
    const auto& table = section(check, document, "timing");
    check.reject_unknown(table,
                         {"health_interval", "health_window", "refresh_interval", "lease_duration",
                          "lost_after", "dark_grace", "address_ttl", "drain_limit", "reform_interval"});
    const auto read = [&](const char* key, time_ms& value, number_range range) {
        value = check.duration(table, key, value, range);
    };
    read("health_interval", values.health_interval, interval_range_ms);
    read("health_window", values.health_window, interval_range_ms);
    read("refresh_interval", values.refresh_interval, interval_range_ms);
    read("lost_after", values.lost_after, interval_range_ms);
    read("dark_grace", values.dark_grace, long_interval_range_ms);
    read("lease_duration", values.lease_duration, lease_range_ms);
    read("address_ttl", values.address_ttl, long_interval_range_ms);
    read("drain_limit", values.drain_limit, long_interval_range_ms);
    read("reform_interval", values.reform_interval, interval_range_ms);
    if (values.lost_after < values.health_window) {
        check.report(table, "lost_after", "'lost_after' must be at least 'health_window'");
    }
    if (values.health_window < values.health_interval * 2) {
        check.report(table, "health_window", "'health_window' must be at least twice 'health_interval'");
    }
}

void read_targets_and_log(toml_checker& check, const toml::table& document, settings& values)
{
    const auto& targets = section(check, document, "targets");
    check.reject_unknown(targets, {"check_fence"});
    values.targets_check_fence = check.boolean(targets, "check_fence", values.targets_check_fence);
    const auto& log = section(check, document, "log");
    check.reject_unknown(log, {"level", "file"});
    values.log_level = check.optional_text(log, "level", values.log_level);
    const bool is_level = values.log_level == "DEBUG" || values.log_level == "INFO" ||
                          values.log_level == "WARN" || values.log_level == "ERROR";
    if (!is_level) {
        check.report(log, "level", "'level' must be DEBUG, INFO, WARN or ERROR");
    }
    values.log_file = check.optional_text(log, "file", values.log_file);
}

} // namespace

checked_settings parse_settings(std::string_view toml, std::string_view file)
{
    toml_checker check{file};
    checked_settings result;
    const auto document = check.parse(toml);
    check.reject_unknown(document, {"entry_host", "platform", "timing", "targets", "log"});
    read_host(check, document, result.values);
    read_platform(check, document, result.values);
    read_timing(check, document, result.values);
    read_targets_and_log(check, document, result.values);
    result.faults = check.take();
    return result;
}

} // namespace coriander
