#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/replicas/domain_record.hpp"
#include "coriander/table_store.hpp"
#include "gateway/fleet_view.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// How a host answered an order.
enum class order_answer {
    accepted,   ///< It has begun, or the state already holds.
    unfitting,  ///< It does not fit the host's state now.
    outdated,   ///< The host has seen a higher generation.
    refused,    ///< The host knows no such order, or is another one.
    unanswered, ///< It may be carried out, also later.
};

/// The name in log lines.
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

/// The outside of a controller: the table, hosts, and other daemons. All callbacks come on the loop's
/// thread, never from within the call. `probe` asks over a new connection and waits no longer than told.
template <typename T>
concept controller_io = requires(T& io, const domain_key& key, const domain_record& record,
                                 std::uint64_t version, const listed_host& host, const host_order& order)
{
    io.commit(key, record, version, std::function<void(commit_state)>{});
    io.order(host, order, std::function<void(order_answer)>{});
    io.request_status(host, std::function<void(std::optional<host_status>)>{});
    io.probe(host, time_ms{}, std::function<void(std::optional<host_status>)>{});
    {
        io.daemons()
        } -> std::convertible_to<std::vector<std::string>>;
};

} // namespace coriander
