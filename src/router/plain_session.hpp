#pragma once

#include "http/http_client.hpp"
#include "router/request_session.hpp"

#include <string>

namespace coriander {

/// A call of a plain service: passed through whole, repeated only when the profile says that it may be.
class plain_session final : public request_session {
public:
    using request_session::request_session;

private:
    bool read_request() override;
    void begin_attempt() override;
    void check_attempt(time_ms moment) override;
    void replay(const stored_answer& answer) override;
    void send_error(const caller_error& problem) override;

    bool find_call(const std::string& name);
    void on_done(const http_result& end);
    void pass_back(const http_result& end);
    void attempt_broken(const http_result& end);

    call_rule call;
    bool was_sent = false; ///< Some attempt may have run.
};

} // namespace coriander
