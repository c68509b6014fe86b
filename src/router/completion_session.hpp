#pragma once

#include "coriander/stream_progress.hpp"
#include "http/http_client.hpp"
#include "router/completion_format.hpp"
#include "router/request_session.hpp"

#include <optional>
#include <string>

namespace coriander {

/// A completion request: streams tokens from a replica to the caller. When an attempt fails, the stream is
/// resumed on another replica.
class completion_session final : public request_session {
public:
    completion_session(router_context& context, std::shared_ptr<const http_request> request,
                       std::shared_ptr<http_reply> reply, completion_kind kind);

private:
    bool read_request() override;
    void begin_attempt() override;
    void check_attempt(time_ms now) override;
    void replay(const stored_answer& answer) override;
    void send_error(const caller_error& error) override;

    void on_data(std::uint64_t attempt, std::string_view chunk);
    void on_done(std::uint64_t attempt, const http_result& end);
    void on_line(std::string_view line);
    void forward_token(const stream_event& event);
    void finish_answer();
    void on_attempt_failed(attempt_outcome outcome, run_state run);
    void try_next_target(time_ms now);
    [[nodiscard]] bool may_wait_for_target(time_ms now);
    void end_with_failure();
    void probe_target();
    void on_probe(std::uint64_t attempt, const http_result& end);
    void abandon_attempt();
    void send_engine_cancel() const;
    [[nodiscard]] bool is_replica_unhealthy() const;
    [[nodiscard]] std::string generate_body() const;
    [[nodiscard]] bool has_tokens() const noexcept { return this->progress.next_index() > 0; }

    completion_kind kind;
    completion_params params;
    stream_progress progress;
    std::uint64_t attempt_number = 0;
    std::string attempt_id;
    http_client::call_id transfer = 0;
    std::string buffer;
    std::string attempt_error; ///< The engine's reason for ending the stream early.
    time_ms last_activity;
    bool stream_open = false;
    bool probing = false;
    bool awaiting_target = false; ///< No attempt runs; a new target is being looked for.
    int attempts = 0;
    bool may_have_run = false; ///< At least one attempt may have run.
};

} // namespace coriander
