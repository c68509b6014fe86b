#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/table_store.hpp"
#include "gateway/fleet_view.hpp"
#include "net/port_check.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// A host's answer to an order.
enum class order_answer {
    accepted,   ///< Execution has started, or the requested state is already reached.
    unfitting,  ///< The order is not valid in the host's current state.
    outdated,   ///< The host has seen a higher generation.
    refused,    ///< The host does not know the order, or is a different host.
    unanswered, ///< No answer; the order may still be executed, even later.
};

/// The name used in log lines.
[[nodiscard]] constexpr const char* name_of(order_answer answer) noexcept
{
    switch (answer) {
    case order_answer::accepted:
        return "accepted";
    case order_answer::unfitting:
        return "unfitting";
    case order_answer::outdated:
        return "outdated";
    case order_answer::refused:
        return "refused";
    case order_answer::unanswered:
        return "unanswered";
    }
    return "unknown";
}

/// A controller's interface to the table, the hosts and the other daemons. Callbacks run on the event loop's
/// thread, never synchronously within the call. `probe` requests a host's status over a new connection with
/// the given timeout; `check_port` finds out whether the host's process listens.
template <typename T>
concept controller_io = requires(T& io, const domain_key& key, const domain_record& record,
                                 row_version version, const listed_host& host, const host_order& order)
{
    io.commit(key, record, version, std::function<void(commit_state)>{});
    io.order(host, order, std::function<void(order_answer)>{});
    io.request_status(host, std::function<void(std::optional<host_status>)>{});
    io.probe(host, time_ms{}, std::function<void(std::optional<host_status>)>{});
    io.check_port(host, time_ms{}, std::function<void(port_state)>{});
    {
        io.daemons()
        } -> std::convertible_to<std::vector<std::string>>;
};

} // namespace coriander
