#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// How a request ended, as its caller sees it.
enum class load_outcome {
    whole,    ///< The complete, correct answer.
    refused,  ///< Rejected as not run.
    cut,      ///< The answer was truncated.
    mixed_up, ///< The answer to another request, or an incorrect one.
    failed,   ///< An error that says that the request ran at least in part.
    unknown,  ///< An error that says that the request may have run.
    lost,     ///< No answer.
};

[[nodiscard]] const char* name_of(load_outcome outcome) noexcept;

/// Percentiles of one latency, in milliseconds.
struct percentiles {
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    std::uint64_t count = 0;
};

/// The results of one run.
struct load_results {
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> whole_by_customer;
    percentiles first_token_ms;
    percentiles between_tokens_ms;
    double seconds = 0.0;
    double tokens_per_second = 0.0;

    [[nodiscard]] std::uint64_t count_of(load_outcome outcome) const;

    /// Whether an answer was lost, mixed up or cut.
    [[nodiscard]] bool has_broken_answers() const;
};

/// Collects the results of a run. Not thread-safe.
class load_report {
public:
    load_report();
    ~load_report();
    load_report(const load_report&) = delete;
    load_report& operator=(const load_report&) = delete;

    void count(load_outcome outcome, const std::string& customer);
    void first_token(double ms);
    void between_tokens(double ms);

    [[nodiscard]] load_results results(double seconds) const;

private:
    struct state;
    std::unique_ptr<state> data;
};

/// Converts the results of a run to JSON and back. Invalid JSON yields results with 0 requests.
[[nodiscard]] std::string results_json(const load_results& results);
[[nodiscard]] load_results parse_results(std::string_view text);

/// A human-readable table: one run, or two side by side with their ratio.
[[nodiscard]] std::string results_table(const load_results& results);
[[nodiscard]] std::string comparison_table(const load_results& before, const load_results& after);

} // namespace coriander
