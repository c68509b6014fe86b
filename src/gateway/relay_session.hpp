#pragma once

#include "coriander/relay/attempt_decision.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_request.hpp"
#include "gateway/response_stream.hpp"
#include "net/http_channel.hpp"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// Relays one request: admits it, sends it to a target, forwards the response, and tries another target when
/// an attempt fails and a retry is safe. Keeps itself alive until the caller has received its response or has
/// disconnected. Must be used on the event loop's thread only.
class relay_session : public response_receiver, public std::enable_shared_from_this<relay_session> {
public:
    relay_session(relay_context& context, std::shared_ptr<caller_connection> caller,
                  incoming_request request);
    ~relay_session() override;

    /// Starts processing the request. Precondition: owned by a `shared_ptr`.
    void start();

    /// Moves the request to another target once everything that an attempt there needs is secured; otherwise
    /// keeps waiting for the current target, which has stalled or is being withdrawn. `reason` is logged.
    void fail_over(const char* reason = "the target has stalled");

    /// Ends the request if it has been quarantined since it was sent and its response has not started.
    void end_if_quarantined();

    /// Whether the request waits for a connection to its target, so that nothing has been sent.
    [[nodiscard]] bool is_unsent() const;

    /// Sends a request that waits for a connection to another target if its target may no longer get it.
    void withdraw_if_forbidden();

    /// Answers the request with what is known of it, since the process exits; breaks off a stream.
    void end_before_exit();

    /// Whether the caller has received part of a streamed response.
    [[nodiscard]] bool has_begun() const noexcept { return this->stream.has_begun(); }

    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_exchange_end(exchange_end end) override;

private:
    /// Retry delay for rejections that aren't caused by load: another entry host or target may be able to
    /// take the request immediately.
    static constexpr time_ms short_retry_delay{150};

    struct attempt {
        target_choice choice;
        std::shared_ptr<http_channel> channel;
        bool is_open = false;
        bool has_begun = false; ///< The response head has been received.
        bool was_reused = false;
        bool is_counted = false; ///< Included in `attempts_sent` and `tried_targets`.
        message_head head;
        std::string body;                       ///< Buffered body of a response that is not streamed.
        std::optional<attempt_end> head_result; ///< Set if the head already rules out success.
        answer_trials::id trial = 0;
        std::size_t events_before = 0;       ///< Events that earlier attempts had forwarded.
        std::optional<double> reported_load; ///< Requests on the target, as reported in its response.
        const char* stays_because = nullptr; ///< Why the last move was not possible, as logged.
        std::optional<held_place> place;     ///< At its target; given back when the attempt ends.
        time_ms sent_at;
        time_ms begun_at;
    };

    /// An attempt that the request has left but that can be continued until the next one is accepted. Records
    /// what is still received.
    struct held_attempt final : response_receiver {
        attempt left;
        std::string partial; ///< Start of an event that was not complete yet.
        std::optional<message_head> head;
        std::string body;
        std::optional<exchange_end> end;

        [[nodiscard]] bool has_received() const noexcept
        {
            return this->head || !this->body.empty() || this->end;
        }
        void on_response_head(message_head received) override { this->head = std::move(received); }
        void on_response_body(std::string_view bytes) override { this->body += bytes; }
        void on_exchange_end(exchange_end how) override { this->end = how; }
    };

    /// Finds out whether a gateway has passed the request on. A mark that no gateway has made changes
    /// nothing.
    void check_mark();
    /// The mark with which the request is passed on to the chosen gateway.
    [[nodiscard]] std::string mark_for(const target_choice& choice, std::string_view deadline_ms) const;
    /// Whether the process may exit while the request runs, which can't be repeated elsewhere then.
    [[nodiscard]] bool may_outlast_process() const;
    void admit();
    void try_admit();
    [[nodiscard]] quarantine_verdict check_quarantine();
    void refuse_quarantined();
    [[nodiscard]] bool may_crash_next_target(const attempt_state& after);
    void end_trial(attempt_end end);
    /// Sends the request to the chosen target, or to another one if that has a rate limit and no permit is
    /// available.
    void send_to(const target_choice& choice);
    void on_permit(const target_choice& choice, permit_decision decision);
    /// Whether the request needs a place at the target, which the target's keeper grants.
    [[nodiscard]] bool needs_place(const target_choice& choice) const;
    void ask_for_place(const target_choice& choice);
    void on_place(const target_choice& choice, place_outcome outcome, const held_place& place);
    /// Refuses the request after some targets had no place for it, or ends it as its attempts require.
    void end_without_place();
    /// Whether the attempt has shown how long the first part of an answer takes there.
    [[nodiscard]] answer_timing timing_of(const attempt& done) const;
    void give_place_back(attempt& done);
    /// The same for a place that no attempt has used.
    void give_next_place_back();
    /// Selects another target, after the selected one may not get the request.
    void choose_again();
    /// Ends the request, whose attempts so far have failed or that has not been sent at all.
    void end_without_target();
    /// Whether the request could be sent to another target if the current attempt ended now.
    [[nodiscard]] bool may_move();
    /// Moves the request to a target with a rate limit once it has a permit; stays where it is without one.
    void move_with_permit(const target_choice& choice, const rate_limit& limit, const char* reason);
    void on_move_permit(const target_choice& choice, permit_decision decision, const char* reason);
    /// Moves the request to the target if a retry can be consumed. Precondition: `may_move()`.
    void move_to(const target_choice& choice, const char* reason);
    /// Logs why the request stays at its target, unless that was the reason the last time.
    void log_stay(const char* why);
    void dispatch(const target_choice& choice);
    [[nodiscard]] std::string request_text(const target_choice& choice) const;
    /// Passes the request on to a gateway that reaches the service's hosts, or refuses it if another gateway
    /// has passed it on. Returns false, and does nothing, if there is no such gateway.
    [[nodiscard]] bool relay_or_refuse();
    [[nodiscard]] std::optional<target_choice> choose_gateway(std::span<const std::string> excluded);
    void on_gateway_head(message_head head);
    /// The best target that is not in `excluded`, a list of target ids. With `includes_silent`, a silent one
    /// if there is no other and the request can wait there.
    [[nodiscard]] std::optional<target_choice> choose_target(std::span<const std::string> excluded,
                                                             bool includes_silent = true);
    /// Whether the request may be sent to a target that may be lost: it can be repeated elsewhere, and enough
    /// time is left to find out.
    [[nodiscard]] bool can_wait_for_silent_target() const;
    void record_load(const message_head& head);
    void buffer_body(std::string_view bytes);
    /// Counts the bytes of an incomplete event among those that all requests hold together.
    void count_held_event();
    void release_buffer();
    void forward_events(std::string_view bytes);
    [[nodiscard]] bool is_event_stream() const;
    [[nodiscard]] std::string_view prompt_parts() const;
    /// If all targets that could take the request want none for a while: how long that lasts. Else zero.
    [[nodiscard]] time_ms pause_left() const;
    [[nodiscard]] std::string_view target_model() const;
    void on_response_complete();
    /// Records the size and the duration of the target's answer.
    void record_answer(time_ms now);
    /// Leaves the current attempt open until the next one has been accepted. Precondition: none is held.
    void hold_attempt(const char* reason);
    /// Closes the held attempt, if there is one.
    void drop_held();
    /// Ends the count of a held attempt at its target.
    void forget_held(const std::string& target);
    /// Continues with the held attempt. Precondition: there is one, and the current one has ended.
    void go_back();
    void leave_target(const std::string& id);
    void log_end(attempt_end end, const char* reason, next_step step);
    void end_attempt(attempt_end end, const char* reason);
    /// Continues after an attempt that could not be sent, once it is known whether the path is lost.
    void check_path_and_continue(const char* reason);
    void continue_after(attempt_state state, const char* reason);
    void close_attempt(bool is_failure);
    /// The state of the request if the current attempt ends like this.
    [[nodiscard]] attempt_state state_after(attempt_end end) const;
    /// Whether the time left, the number of tried targets and the quarantine allow another attempt.
    [[nodiscard]] bool may_retry(const attempt_state& after, std::size_t tried);
    void execute(next_step step, const std::optional<target_choice>& next);
    /// The reply to a request whose route or key the manifest lacks: it may be in one that is newer.
    [[nodiscard]] local_reply reply_by_doubt(local_reply problem) const;
    void send_local_reply(local_reply reply, time_ms retry_after = {});
    void forward_response();
    void finish(const char* outcome, int status);
    void on_deadline();
    void on_caller_gone();
    /// Closes the attempt's connection, for a reason that is not the target's.
    void abandon_attempt();

    relay_context& context;
    relay_request request;
    service_state* state = nullptr;
    const char* size_class = nullptr; ///< Set for requests to engine services only.
    asio::steady_timer deadline_timer;
    std::shared_ptr<relay_session> self; ///< Keeps the session alive until the request has ended.
    attempt current;
    std::unique_ptr<held_attempt> held;
    std::vector<std::string> tried_targets;
    response_stream stream;
    std::size_t counted_event_bytes = 0; ///< Of an incomplete event, in the context's sum.
    unsigned attempts_sent = 0;
    unsigned denied_permits = 0;
    unsigned denied_places = 0;
    std::optional<held_place> next_place; ///< For the attempt that is about to be sent.
    bool is_asking_to_move = false;
    std::optional<target_choice> reserved; ///< Target to move to, with a retry and any permit it needs.
    time_ms permit_wait;                   ///< Shortest wait of the denied permits.
    std::optional<attempt_state> last_end; ///< State after the last attempt, while another is prepared.
    bool may_have_run = false;
    bool has_ended = false;
    bool is_counted_as_relayed = false;
};

} // namespace coriander
