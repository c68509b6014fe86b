#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace coriander {

/// How a request ended, as its caller sees it.
enum class load_outcome {
    whole,    ///< The whole, right answer.
    refused,  ///< Not run, and said so.
    cut,      ///< The answer ended before its end.
    mixed_up, ///< Somebody else's answer, or a wrong one.
    failed,   ///< An error that says that it ran at least in part.
    unknown,  ///< An error that says that it may have run.
    lost,     ///< No answer at all.
};

[[nodiscard]] const char* name_of(load_outcome outcome) noexcept;

/// Percentiles of one latency, in milliseconds.
struct percentiles {
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    std::uint64_t count = 0;
};

/// The figures of one run.
struct load_figures {
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

/// Gathers the figures of a run. Not thread-safe.
class load_report {
public:
    load_report();
    ~load_report();
    load_report(const load_report&) = delete;
    load_report& operator=(const load_report&) = delete;

    void count(load_outcome outcome, const std::string& customer);
    void first_token(double ms);
    void between_tokens(double ms);

    [[nodiscard]] load_figures figures(double seconds) const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// JSON text of a run, and back. An unreadable text gives no requests.
[[nodiscard]] std::string figures_json(const load_figures& figures);
[[nodiscard]] load_figures parse_figures(std::string_view text);

/// A table for people: one run, or two beside each other with their ratio.
[[nodiscard]] std::string figures_table(const load_figures& figures);
[[nodiscard]] std::string comparison_table(const load_figures& before, const load_figures& after);

} // namespace coriander
