#pragma once

#include "http/http_client.hpp"
#include "router/request_session.hpp"

#include <string>

namespace coriander {

/// A call of a plain service. Both bodies are forwarded unchanged; the request is retried only if the profile
/// marks the call as repeatable.
class plain_session final : public request_session {
public:
    using request_session::request_session;

private:
    bool read_request() override;
    void begin_attempt() override;
    void check_attempt(time_ms now) override;
    void replay(const stored_answer& answer) override;
    void send_error(const caller_error& error) override;

    bool find_call(const std::string& name);
    void on_done(const http_result& end);
    void forward_answer(const http_result& end);
    void on_attempt_failed(const http_result& end);

    call_rule call;
    bool may_have_run = false; ///< At least one attempt may have run.
};

} // namespace coriander
