#pragma once

#include "coriander/clock.hpp"
#include "http/http_client.hpp"
#include "load/load_plan.hpp"
#include "load/load_report.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace coriander {

/// Sends the planned load, open loop with Poisson arrivals, and checks every answer.
class load_run {
public:
    explicit load_run(load_plan plan);

    /// Runs to the end. Errors: `unavailable` when no entry host answers.
    [[nodiscard]] result<load_figures> run();

private:
    /// One completion on its way.
    struct completion {
        std::string customer;
        std::string prompt;
        std::string buffer;
        std::string text;
        std::string problem; ///< The `run` of an error in the stream.
        bool done = false;   ///< `[DONE]` came.
        bool streaming = false;
        std::uint64_t tokens = 0;
        std::chrono::steady_clock::time_point sent_at;
        std::chrono::steady_clock::time_point last_token;
    };

    bool refresh_entry_hosts();
    std::string choose_entry_host();
    const load_customer& choose_customer();
    std::string make_prompt();
    void send_one();
    void send_completion();
    void send_plain();
    void send_plain_call(const load_customer& customer, const std::string& key, int attempt);
    void on_plain_done(const load_customer& customer, const std::string& key, int attempt,
                       const http_result& end);
    void on_data(completion& one, std::string_view chunk);
    void on_line(completion& one, std::string_view line);
    void on_done(completion& one, const http_result& end);
    [[nodiscard]] load_outcome judge(const completion& one, const http_result& end) const;
    void count(load_outcome outcome, const std::string& customer);
    double draw();

    load_plan plan;
    std::mt19937_64 random;
    monotonic_clock clock;
    time_ms hosts_valid_until;
    std::vector<std::string> hosts;
    std::uint64_t prompt_number = 0;
    std::mutex mutex; ///< Guards the members below.
    std::condition_variable one_ended;
    load_report report;
    std::size_t open = 0;
    http_client client; ///< Last, so that its callbacks end first.
};

} // namespace coriander
