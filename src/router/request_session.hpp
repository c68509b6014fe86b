#pragma once

#include "coriander/claim.hpp"
#include "coriander/configuration.hpp"
#include "coriander/route_request.hpp"
#include "http/http_server.hpp"
#include "router/error_reply.hpp"
#include "router/router_context.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace coriander {

/// One caller's request from arrival to its end: who sends it, whether it is within its limits, whether it
/// may run, and where. What is sent and how answers are read is for the derived types.
///
/// Every method takes the session's lock, unless its comment says otherwise.
class request_session : public std::enable_shared_from_this<request_session> {
public:
    request_session(router_context& context, std::shared_ptr<const http_request> request,
                    std::shared_ptr<http_reply> reply);
    virtual ~request_session() = default;
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    /// Registers and begins. Call once.
    void start();

    /// The request's turn has come. Thread-safe.
    void on_assigned(const route_assignment& assignment);

    /// The request has waited for as long as it may and was taken out of the queue. Thread-safe.
    void on_queue_timeout();

    /// The router ends and can't wait any longer: the caller gets its final answer. Thread-safe.
    void on_drain_timeout();

    /// Looks at limits of time. Called every few dozen milliseconds. Thread-safe.
    void check();

protected:
    /// Reads the request and sets `service`, `idempotency_key` and the like. On bad input ends the session
    /// and returns false. Called under the lock.
    virtual bool read_request() = 0;

    /// Sends the request to the target. Called under the lock.
    virtual void begin_attempt() = 0;

    /// Looks at limits of time while an attempt runs. Called under the lock.
    virtual void check_attempt(time_ms now) = 0;

    /// Gives a kept answer to a repeat. Called under the lock.
    virtual void replay(const kept_answer& answer) = 0;

    /// Sends an error to the caller. Called under the lock.
    virtual void send_error(const caller_error& error) = 0;

    /// Finds the service's rules; on failure ends the session. Called under the lock.
    bool find_service(const std::string& name, profile_kind kind);

    /// Ends the session with an error. A claim is released, given up or kept as the error's run state says.
    /// Called under the lock.
    void end_with_error(const caller_error& error);

    /// Ends the session after its answer was sent; a claim keeps `answer`. Called under the lock.
    void end_with_answer(kept_answer answer);

    /// Ends the running attempt in the dispatcher's books. Called under the lock.
    void finish_attempt(attempt_outcome outcome);

    /// Asks for another target after an attempt failed. Called under the lock. Returns whether one was found;
    /// `current` names it then.
    bool reassign(bool is_resumed);

    /// Whether the request may be sent again after it was sent. Called under the lock.
    [[nodiscard]] bool may_retry() const noexcept { return !this->grant.has_value(); }

    [[nodiscard]] time_ms now() const { return this->context.clock.now(); }

    router_context& context;
    std::shared_ptr<const http_request> request;
    std::shared_ptr<http_reply> reply;
    std::recursive_mutex mutex; ///< Guards all members.
    ticket_id ticket = 0;
    std::string id;
    std::string service;
    std::string metric_label; ///< Made once: it is used for each token.
    std::string idempotency_key;
    std::string prefix;
    profile rules;
    customer_rule customer;
    std::shared_ptr<service_route> route;
    route_request routing;
    route_assignment current;
    std::optional<claim_grant> grant;
    time_ms arrival_time;
    bool attempt_running = false;
    bool ended = false;

private:
    bool authenticate();
    bool check_rate_limit();
    void begin_claim();
    void on_claim(claim_decision decision);
    void submit();
    void settle_claim(run_state run);
    void log_route() const;
    void end();
    [[nodiscard]] std::string body_digest() const;

    bool queued = false;
    bool was_assigned = false; ///< A target may have run it.
};

} // namespace coriander
