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

/// What an operator's command may be told besides its words.
struct operator_options {
    std::optional<std::uint64_t> base; ///< The number that the change was made from.
    std::string author;
    time_ms wait_limit{10000};
    std::set<std::string> without; ///< Entry hosts that the operator knows to be stopped.
};

/// The commands of `corianderctl`. Each prints its result and returns the exit code.
class operator_session {
public:
    operator_session(platform_urls urls, operator_options options);

    /// Checks a profile file without touching the platform.
    [[nodiscard]] static exit_code validate(const std::string& path);

    /// Writes a configuration and waits until it is in force on every entry host.
    [[nodiscard]] exit_code apply(const std::string& path);

    /// Waits for the newest configuration to be in force on every entry host.
    [[nodiscard]] exit_code await();

    /// Prints the configuration, its number and whether it is accepted.
    [[nodiscard]] exit_code show();

    /// Prints the lines in which the file differs from the configuration.
    [[nodiscard]] exit_code diff(const std::string& path);

    [[nodiscard]] exit_code list_replicas();
    [[nodiscard]] exit_code list_hosts();
    [[nodiscard]] exit_code list_entry_hosts();

    /// Asks for a host to be emptied, or lets it be used again.
    [[nodiscard]] exit_code drain(const std::string& host);
    [[nodiscard]] exit_code undrain(const std::string& host);

    /// Prints the decisions about a request, replica, host or customer from all entry hosts.
    [[nodiscard]] exit_code explain(const std::string& text);

private:
    struct current_config {
        std::optional<config_record> record;
        std::uint64_t version = 0;
    };

    [[nodiscard]] result<current_config> read_current();
    [[nodiscard]] exit_code commit_config(const config_record& record, const current_config& base);
    [[nodiscard]] exit_code await_acks(std::uint64_t number, time_ms since);
    [[nodiscard]] std::optional<std::vector<std::string>> missing_acks(std::uint64_t number);
    void forget_gone_member(const table_row& row);
    [[nodiscard]] bool mark_accepted(std::uint64_t number);

    platform_client platform;
    http_client client;
    operator_options options;
};

/// Tells an operator that the platform can't be reached.
[[nodiscard]] exit_code unreachable(const error& problem);

/// Lines of `after` that are not in `before` with "+", and the other way round with "-", in their order.
[[nodiscard]] std::string line_diff(const std::string& before, const std::string& after);

} // namespace coriander
