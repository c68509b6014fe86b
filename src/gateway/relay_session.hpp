#pragma once

#include "coriander/relay/attempt_decision.hpp"
#include "gateway/relay_context.hpp"
#include "gateway/relay_request.hpp"
#include "gateway/stream_answer.hpp"
#include "net/http_channel.hpp"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// Relays one request: admits it, sends it to a target, passes the answer on, and goes on elsewhere when an
/// attempt fails and that does no harm. Keeps itself alive until the caller has its answer or has left. Used
/// on the loop's thread only.
class relay_session : public response_receiver, public std::enable_shared_from_this<relay_session> {
public:
    relay_session(relay_context& context, std::shared_ptr<caller_connection> caller,
                  incoming_request request);
    ~relay_session() override;

    /// Begins. Precondition: held by a `shared_ptr`.
    void start();

    /// The target stands still or is gone: goes on elsewhere if that is possible, else waits on.
    void fail_over(const char* why = "the target stands still");

    /// Whether the caller has received a part of the answer.
    [[nodiscard]] bool has_begun() const noexcept { return this->stream.has_begun(); }

    void on_response_head(wire_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_exchange_end(exchange_end end) override;

private:
    /// When a refusal says nothing of load: another entry host or target may take the request at once.
    static constexpr time_ms short_retry{150};

    struct attempt {
        target_choice choice;
        std::shared_ptr<http_channel> channel;
        bool is_open = false;
        bool has_begun = false; ///< The head of the answer came.
        bool was_reused = false;
        wire_head head;
        std::string body;                   ///< Of answers that are not streams.
        std::optional<attempt_end> verdict; ///< Known from the head.
        std::optional<double> told_load;    ///< Requests on the target, by its answer.
        time_ms sent_at;
        time_ms begun_at;
    };

    void admit();
    void dispatch(const target_choice& choice);
    [[nodiscard]] std::string request_text(const target_choice& choice) const;
    /// The best target but for those named.
    [[nodiscard]] std::optional<target_choice> choose_target(std::span<const std::string> without);
    void read_load(const wire_head& head);
    void hold(std::string_view bytes);
    void drop_held();
    void pass_events(std::string_view bytes);
    [[nodiscard]] bool is_event_stream() const;
    void complete();
    void end_attempt(attempt_end end, const char* why);
    void close_attempt(bool is_failure);
    [[nodiscard]] attempt_state state_after(attempt_end end);
    void carry_out(next_step step, const std::optional<target_choice>& next);
    void answer(own_answer answer, time_ms retry_after = {});
    void pass_answer();
    void finish(const char* outcome, int status);
    void on_time_limit();
    void on_caller_gone();

    relay_context& context;
    std::shared_ptr<caller_connection> caller;
    relay_request request;
    service_state* state = nullptr;
    const char* size = nullptr; ///< Of an engine's request: its size class.
    asio::steady_timer limit_timer;
    std::shared_ptr<relay_session> self; ///< Until the request has ended.
    attempt current;
    std::vector<std::string> tried;
    stream_answer stream;
    unsigned attempts_sent = 0;
    bool may_have_run = false;
    bool has_ended = false;
    bool counts_as_open = false;
};

} // namespace coriander
