#pragma once

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

/// Why a request is answered without a target.
enum class own_answer {
    none,
    no_manifest, ///< Nothing is known of routes yet.
    no_route,
    unknown_key,
    no_service,  ///< The route leads to a service that the manifest doesn't declare.
    no_target,   ///< No target of the service or model can take it now.
    overloaded,  ///< It would come too late.
    stopping,    ///< A planned stop has begun.
    not_sent,    ///< Attempts failed before anything ran.
    unknown_end, ///< It may have run.
    timed_out,   ///< The time limit passed.
};

/// A caller's request, decoded: what routing needs of it.
struct relay_request {
    incoming_request raw;
    std::shared_ptr<const route_table> routes; ///< The manifest in force when it arrived.
    const relay_route* route = nullptr;
    const relay_customer* customer = nullptr; ///< Null on routes that need none.
    std::string service;
    std::string attempt_id;
    std::string model;
    double prompt_tokens = 0.0;
    double most_answer_tokens = 0.0;
    std::optional<std::uint64_t> last_event; ///< The caller goes on after this one.
    time_ms give_up_at;                      ///< The caller's or the route's limit, whichever comes first.
};

/// Decodes a request and finds its route and customer. `draw` in [0, 1) chooses among a split's services.
/// Returns why it can't be relayed, or `none`.
[[nodiscard]] own_answer decode_request(relay_request& request, const relay_dialect& dialect, double draw);

/// The headers that a target receives, without those of the attempt.
[[nodiscard]] std::vector<http_header> forwarded_headers(const relay_request& request,
                                                         const relay_dialect& dialect);

/// The headers of an own answer; one that promises that nothing has run tells when to come back.
[[nodiscard]] std::vector<http_header> own_answer_headers(own_answer answer, const relay_request& request,
                                                          const relay_dialect& dialect, time_ms retry_after);

/// The status of an own answer.
[[nodiscard]] int status_of(own_answer answer) noexcept;
/// The name in log lines and metrics.
[[nodiscard]] const char* name_of(own_answer answer) noexcept;

} // namespace coriander
