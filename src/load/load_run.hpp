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

/// Generates the planned load (open loop, Poisson arrivals) and checks every answer.
class load_run {
public:
    explicit load_run(load_plan plan);

    /// Runs the plan and blocks until it has ended. Errors: `unavailable` if no entry host answers.
    [[nodiscard]] result<load_results> run();

private:
    /// A completion request in flight.
    struct completion {
        std::string customer;
        std::string prompt;
        std::string buffer;
        std::string text;
        std::string error_run; ///< The field `run` of an error in the stream.
        bool done = false;     ///< `[DONE]` was received.
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
                       const http_result& response);
    void on_data(completion& request, std::string_view chunk);
    void on_line(completion& request, std::string_view line);
    void on_done(completion& request, const http_result& response);
    [[nodiscard]] load_outcome classify(const completion& request, const http_result& response) const;
    void count(load_outcome outcome, const std::string& customer);
    double draw();

    load_plan plan;
    std::mt19937_64 random;
    monotonic_clock clock;
    time_ms hosts_valid_until;
    std::vector<std::string> hosts;
    std::uint64_t prompt_number = 0;
    std::mutex mutex; ///< Guards the members below.
    std::condition_variable request_ended;
    load_report report;
    std::size_t in_flight = 0;
    http_client client; ///< Last, so that it is destroyed first: its callbacks use the other members.
};

} // namespace coriander
