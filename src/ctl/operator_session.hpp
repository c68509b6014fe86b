#pragma once

#include "coriander/config_record.hpp"
#include "coriander/member_row.hpp"
#include "http/http_client.hpp"
#include "runtime/platform_client.hpp"
#include "runtime/program.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// Options of an operator's command.
struct operator_options {
    std::optional<std::uint64_t> base; ///< Number of the configuration that the change is based on.
    std::string author;
    time_ms wait_timeout{10000};
    std::set<std::string> stopped_entry_hosts; ///< Known to be stopped; need not confirm a change.
};

/// The commands of `corianderctl`. Each prints its result and returns the exit code.
class operator_session {
public:
    operator_session(platform_urls urls, operator_options options);

    /// Checks a configuration file without accessing the platform.
    [[nodiscard]] static exit_code validate(const std::string& path);

    /// Writes a configuration and waits until it is in force on every entry host.
    [[nodiscard]] exit_code apply(const std::string& path);

    /// Waits until the latest configuration is in force on every entry host.
    [[nodiscard]] exit_code await();

    /// Prints the current configuration, its number and whether it is accepted.
    [[nodiscard]] exit_code show();

    /// Prints the lines by which the file differs from the current configuration.
    [[nodiscard]] exit_code diff(const std::string& path);

    [[nodiscard]] exit_code list_replicas();
    [[nodiscard]] exit_code list_hosts();
    [[nodiscard]] exit_code list_entry_hosts();

    /// Marks a host as drained, so that its replicas are moved away, or removes the mark.
    [[nodiscard]] exit_code drain(const std::string& host);
    [[nodiscard]] exit_code undrain(const std::string& host);

    /// Prints the logged decisions about a request, replica, host or customer from all entry hosts and
    /// controllers.
    [[nodiscard]] exit_code explain(const std::string& text);

private:
    struct current_config {
        std::optional<config_record> record;
        std::uint64_t version = 0;
    };

    [[nodiscard]] result<current_config> read_current();
    [[nodiscard]] exit_code commit_config(const config_record& record, const current_config& base);
    [[nodiscard]] exit_code await_confirmations(std::uint64_t number, time_ms since);
    [[nodiscard]] std::optional<std::vector<std::string>> unconfirmed_entry_hosts(std::uint64_t number);
    void remove_unlisted_member(const table_row& row);
    [[nodiscard]] bool mark_accepted(std::uint64_t number);

    platform_client platform;
    http_client client;
    operator_options options;
};

/// Prints the error and returns `exit_code::unavailable`.
[[nodiscard]] exit_code report_unavailable(const error& problem);

/// Returns a line diff: lines only in `after` start with "+ ", lines only in `before` with "- ",
/// in file order.
[[nodiscard]] std::string line_diff(const std::string& before, const std::string& after);

} // namespace coriander
