#pragma once

#include <string>

namespace coriander {

/// The names of the HTTP headers exchanged with callers and targets. Each deployment can set its own.
struct relay_dialect {
    std::string attempt_id = "Coriander-Attempt";      ///< The caller's id of one attempt; echoed.
    std::string deadline_ms = "Coriander-Deadline-Ms"; ///< Time the caller will still wait.
    std::string last_event_id = "Last-Event-ID";       ///< Resume the stream after this event.
    std::string signature = "Coriander-Signature";     ///< Marks responses that the target itself produced.
    std::string customer = "Coriander-Customer";       ///< The customer's name, for the target.
    std::string expected_host = "Coriander-Host";      ///< Only the host with this id may serve the request.
    std::string host_load = "Coriander-Load";          ///< `running,waiting,slots` in a target's responses.
    std::string rate_limit = "Coriander-Limit";        ///< Requests per second that the target takes in all.
    std::string leaving = "Coriander-Leaving";         ///< `1` in all responses of a target that will stop.
    std::string not_run = "Coriander-Not-Run";         ///< Set by a target that did not run the request.
    std::string model = "Coriander-Model";             ///< The requested model.
    std::string token_counts = "Coriander-Tokens";     ///< `prompt,maximum answer`, in tokens.
    std::string prompt_parts = "Coriander-Prompt"; ///< The prompt's parts in order: `id:tokens,id:tokens`.
    std::string priority = "Coriander-Priority";   ///< Priority in the engine's queue; 0 is the highest.
    /// Set by a gateway that passes a request on to another one, which must not do the same.
    std::string relayed = "Coriander-Relayed";
    std::string authorization = "Authorization";
    std::string key_scheme = "Bearer"; ///< Scheme before the key in `authorization`.
};

} // namespace coriander
