#pragma once

#include <string>

namespace coriander {

/// The header names that callers, targets and the system agree on. Deployments set their own.
struct relay_dialect {
    std::string attempt_id = "Coriander-Attempt";      ///< The caller's name of one sending; echoed.
    std::string deadline_ms = "Coriander-Deadline-Ms"; ///< How long the caller waits from now on.
    std::string last_event_id = "Last-Event-ID";       ///< A stream goes on after this event.
    std::string signature = "Coriander-Signature";     ///< Of a target's own answers.
    std::string customer = "Coriander-Customer";       ///< Tells a target whose request it is.
    std::string expected_host = "Coriander-Host";      ///< Only the host with this id may answer.
    std::string host_load = "Coriander-Load";          ///< `running,waiting,slots` in a target's answers.
    std::string not_run = "Coriander-Not-Run";         ///< The target states that it did not run the request.
    std::string model = "Coriander-Model";             ///< Which model the request is for.
    std::string token_counts = "Coriander-Tokens";     ///< `prompt,most of the answer`.
    std::string priority = "Coriander-Priority";       ///< Order in the engine's queue; 0 comes first.
    std::string authorization = "Authorization";
    std::string key_scheme = "Bearer"; ///< Word before the customer's key.
};

} // namespace coriander
