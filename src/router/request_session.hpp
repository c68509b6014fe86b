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

/// One caller's request from arrival to completion: authentication, rate limit, idempotency claim, queueing
/// and choice of the target. Derived types define what is sent to the target and how its response is read.
///
/// Every method takes the session's lock, unless its comment says otherwise.
class request_session : public std::enable_shared_from_this<request_session> {
public:
    request_session(router_context& context, std::shared_ptr<const http_request> request,
                    std::shared_ptr<http_reply> reply);
    virtual ~request_session() = default;
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    /// Adds the session to the registry and starts processing the request. Call once.
    void start();

    /// Called when the dispatcher has assigned the request to a target. Thread-safe.
    void on_assigned(const route_assignment& assignment);

    /// Called when the request has been removed from the queue because its waiting time ran out. Thread-safe.
    void on_queue_timeout();

    /// Called when the request has not ended within the router's drain limit: sends the caller an error.
    /// Thread-safe.
    void on_drain_timeout();

    /// Checks the session's timeouts. Called every few tens of milliseconds. Thread-safe.
    void check();

protected:
    /// Parses the request and sets the members that depend on it, such as `service` and `idempotency_key`.
    /// On invalid input ends the session with an error and returns false. Called under the lock.
    virtual bool read_request() = 0;

    /// Sends the request to the target. Called under the lock.
    virtual void begin_attempt() = 0;

    /// Checks the timeouts of a request that is not queued. Called under the lock.
    virtual void check_attempt(time_ms now) = 0;

    /// Sends the stored answer to a request that repeats an idempotency key. Called under the lock.
    virtual void replay(const stored_answer& answer) = 0;

    /// Sends an error to the caller. Called under the lock.
    virtual void send_error(const caller_error& error) = 0;

    /// Looks up the service's profile and route and sets the members that depend on them. If there is none,
    /// ends the session with an error and returns false. Called under the lock.
    bool find_service(const std::string& name, profile_kind kind);

    /// Ends the session with an error. A claim is released if the request did not run, and its outcome is
    /// recorded as unknown otherwise. Called under the lock.
    void end_with_error(const caller_error& error);

    /// Ends the session after its answer was sent; `answer` is stored with the claim. Called under the lock.
    void end_with_answer(stored_answer answer);

    /// Reports the end of the running attempt to the dispatcher. Called under the lock.
    void finish_attempt(attempt_outcome outcome);

    /// Asks the dispatcher for another target after an attempt failed. `is_resumed`: a part of the
    /// answer has already arrived, and the next attempt continues it. Returns whether a target was found,
    /// which `current` then names. Called under the lock.
    bool reassign(bool is_resumed);

    /// Whether the request may be sent to a target more than once. Called under the lock.
    [[nodiscard]] bool may_retry() const noexcept { return !this->grant.has_value(); }

    [[nodiscard]] time_ms now() const { return this->context.clock.now(); }

    router_context& context;
    std::shared_ptr<const http_request> request;
    std::shared_ptr<http_reply> reply;
    std::recursive_mutex mutex; ///< Guards all members.
    ticket_id ticket = 0;
    std::string id;
    std::string service;
    std::string metric_label; ///< Built once, since it is used for every token.
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
    bool was_assigned = false; ///< A target may have run the request.
};

} // namespace coriander
