#pragma once

#include "coriander/relay/crash_report.hpp"
#include "coriander/relay/route_table.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/relay_dialect.hpp"
#include "net/caller_connection.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/// Why the gateway responds to a request itself instead of forwarding a target's response.
enum class local_reply {
    none,
    no_manifest, ///< No manifest has been received yet.
    no_route,
    unknown_key,
    no_service,  ///< The manifest doesn't declare the route's service.
    quarantined, ///< Requests like it crash their targets.
    no_target,   ///< No target of the service or model is available.
    cut_off,     ///< Another gateway passed the request on, but this one can't reach the hosts either.
    relay_limit, ///< Too many requests of other gateways are open here.
    paused,      ///< All targets have stated that they want no requests for a while.
    overloaded,  ///< The response would come too late, or demand exceeds capacity.
    stopping,    ///< The gateway is shutting down.
    outdated,    ///< The route or key is not in the manifest, which may be outdated.
    not_sent,    ///< All attempts failed before a target ran the request.
    unknown_end, ///< The attempt failed, but the request may have run.
    timed_out,   ///< The time limit passed.
};

/// A caller's request with the fields that routing needs decoded.
struct relay_request {
    incoming_request raw;
    std::shared_ptr<const route_table> routes; ///< From the manifest in force when the request arrived.
    const relay_route* route = nullptr;
    const relay_customer* customer = nullptr; ///< Null if the route requires no customer.
    std::string service;
    std::string attempt_id;
    std::string model;
    double prompt_tokens = 0.0;
    double max_answer_tokens = 0.0;
    std::vector<fingerprint> prints; ///< Of the whole request and of the parts of its prompt but the last.
    bool is_relayed = false;         ///< Another gateway passed it on.
    std::optional<std::uint64_t> last_event; ///< Set if the caller resumes a stream after this event.
    time_ms deadline;                        ///< The caller's or the route's limit, whichever comes first.
};

/// Decodes `request.raw` except for its mark, and finds its route and customer. `draw`, in [0, 1), selects
/// among the services of a traffic split. Returns why the request can't be relayed, or `none`.
[[nodiscard]] local_reply decode_request(relay_request& request, const relay_dialect& dialect, double draw);

/// The headers forwarded to a target, without those specific to an attempt.
[[nodiscard]] std::vector<http_header> forwarded_headers(const relay_request& request,
                                                         const relay_dialect& dialect);

/// The headers with which the request is passed on to another gateway, without those specific to an attempt
/// except for the `mark`.
[[nodiscard]] std::vector<http_header> relayed_headers(const relay_request& request,
                                                       const relay_dialect& dialect, std::string mark);

/// The headers of a local reply. A reply to another gateway that can't be helped here says so, so that it
/// tries the next one. A 503, which guarantees that the request has not run, gets a Retry-After header if
/// `retry_after` is positive.
[[nodiscard]] std::vector<http_header> local_reply_headers(local_reply reply, const relay_request& request,
                                                           const relay_dialect& dialect, time_ms retry_after);

/// The HTTP status of a local reply.
[[nodiscard]] int status_of(local_reply reply) noexcept;
/// The name of a local reply in log lines and metrics.
[[nodiscard]] const char* name_of(local_reply reply) noexcept;

} // namespace coriander
