#include "load/load_report.hpp"

#include "core/json_text.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <iomanip>
#include <sstream>
#include <vector>

namespace coriander {
namespace {

namespace histograms = boost::histogram;

constexpr unsigned bins = 2000;
constexpr double min_ms = 0.05;
constexpr double max_ms = 600'000.0;
constexpr std::array all_outcomes{load_outcome::whole,    load_outcome::refused, load_outcome::cut,
                                  load_outcome::mixed_up, load_outcome::failed,  load_outcome::unknown,
                                  load_outcome::lost};

using log_axis = histograms::axis::regular<double, histograms::axis::transform::log>;

auto make_latencies()
{
    return histograms::make_histogram(log_axis{bins, min_ms, max_ms});
}

using latency_histogram = decltype(make_latencies());

double quantile(const latency_histogram& latencies, double fraction)
{
    double total = 0.0;
    for (const auto& bin : histograms::indexed(latencies, histograms::coverage::all)) {
        total += *bin;
    }
    double cumulative = 0.0;
    for (const auto& bin : histograms::indexed(latencies, histograms::coverage::all)) {
        cumulative += *bin;
        if (total > 0.0 && cumulative >= fraction * total) {
            return bin.bin(0).center();
        }
    }
    return 0.0;
}

percentiles percentiles_of(const latency_histogram& latencies)
{
    double total = 0.0;
    for (const auto& bin : histograms::indexed(latencies, histograms::coverage::all)) {
        total += *bin;
    }
    return {quantile(latencies, 0.50), quantile(latencies, 0.95), quantile(latencies, 0.99),
            static_cast<std::uint64_t>(total)};
}

json_object to_json(const percentiles& values)
{
    return {{"p50", values.p50}, {"p95", values.p95}, {"p99", values.p99}, {"count", values.count}};
}

percentiles percentiles_from(const json_object& object, const char* name)
{
    const auto inner = object_member(object, name).value_or(json_object::object());
    return {number_member(inner, "p50"), number_member(inner, "p95"), number_member(inner, "p99"),
            static_cast<std::uint64_t>(integer_member(inner, "count"))};
}

/// One line of a table.
struct table_line {
    std::string label;
    double value;
};

std::vector<table_line> table_lines(const load_results& results)
{
    std::vector<table_line> lines{{"requests", static_cast<double>(results.requests)}};
    for (const auto outcome : all_outcomes) {
        lines.push_back(
            {std::string{"  "} + name_of(outcome), static_cast<double>(results.count_of(outcome))});
    }
    lines.push_back({"first token p50 (ms)", results.first_token_ms.p50});
    lines.push_back({"first token p95 (ms)", results.first_token_ms.p95});
    lines.push_back({"first token p99 (ms)", results.first_token_ms.p99});
    lines.push_back({"between tokens p50 (ms)", results.between_tokens_ms.p50});
    lines.push_back({"between tokens p95 (ms)", results.between_tokens_ms.p95});
    lines.push_back({"between tokens p99 (ms)", results.between_tokens_ms.p99});
    lines.push_back({"tokens per second", results.tokens_per_second});
    return lines;
}

constexpr int label_width = 26;
constexpr int value_width = 12;

} // namespace

const char* name_of(load_outcome outcome) noexcept
{
    switch (outcome) {
    case load_outcome::whole:
        return "whole";
    case load_outcome::refused:
        return "refused";
    case load_outcome::cut:
        return "cut";
    case load_outcome::mixed_up:
        return "mixed_up";
    case load_outcome::failed:
        return "failed";
    case load_outcome::unknown:
        return "unknown";
    case load_outcome::lost:
        return "lost";
    }
    return "lost";
}

struct load_report::state {
    load_results sums;
    latency_histogram first = make_latencies();
    latency_histogram between = make_latencies();
};

load_report::load_report() : data{std::make_unique<state>()} {}

load_report::~load_report() = default;

void load_report::count(load_outcome outcome, const std::string& customer)
{
    ++this->data->sums.requests;
    ++this->data->sums.outcomes[name_of(outcome)];
    this->data->sums.whole_by_customer[customer] += outcome == load_outcome::whole ? 1 : 0;
}

void load_report::first_token(double ms)
{
    this->data->first(ms);
}

void load_report::between_tokens(double ms)
{
    this->data->between(ms);
}

load_results load_report::results(double seconds) const
{
    auto results = this->data->sums;
    results.first_token_ms = percentiles_of(this->data->first);
    results.between_tokens_ms = percentiles_of(this->data->between);
    results.seconds = seconds;
    const auto tokens = results.first_token_ms.count + results.between_tokens_ms.count;
    results.tokens_per_second = seconds > 0.0 ? static_cast<double>(tokens) / seconds : 0.0;
    return results;
}

std::uint64_t load_results::count_of(load_outcome outcome) const
{
    const auto found = this->outcomes.find(name_of(outcome));
    return found == this->outcomes.end() ? 0 : found->second;
}

bool load_results::has_broken_answers() const
{
    return this->count_of(load_outcome::lost) + this->count_of(load_outcome::mixed_up) +
               this->count_of(load_outcome::cut) >
           0;
}

std::string results_json(const load_results& results)
{
    return to_text({{"requests", results.requests},
                    {"outcomes", results.outcomes},
                    {"whole_by_customer", results.whole_by_customer},
                    {"first_token_ms", to_json(results.first_token_ms)},
                    {"between_tokens_ms", to_json(results.between_tokens_ms)},
                    {"seconds", results.seconds},
                    {"tokens_per_second", results.tokens_per_second}});
}

load_results parse_results(std::string_view text)
{
    load_results results;
    const auto object = parse_object(text);
    if (!object) {
        return results;
    }
    results.requests = static_cast<std::uint64_t>(integer_member(*object, "requests"));
    const auto outcomes = object_member(*object, "outcomes").value_or(json_object::object());
    for (const auto outcome : all_outcomes) {
        const auto count = integer_member(outcomes, name_of(outcome));
        results.outcomes[name_of(outcome)] = static_cast<std::uint64_t>(count);
    }
    results.first_token_ms = percentiles_from(*object, "first_token_ms");
    results.between_tokens_ms = percentiles_from(*object, "between_tokens_ms");
    results.seconds = number_member(*object, "seconds");
    results.tokens_per_second = number_member(*object, "tokens_per_second");
    return results;
}

std::string results_table(const load_results& results)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (const auto& line : table_lines(results)) {
        out << std::left << std::setw(label_width) << line.label << std::right << std::setw(value_width)
            << line.value << "\n";
    }
    return out.str();
}

std::string comparison_table(const load_results& before, const load_results& after)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << std::left << std::setw(label_width) << "" << std::right << std::setw(value_width) << "before"
        << std::setw(value_width) << "after" << std::setw(value_width) << "ratio"
        << "\n";
    const auto old_lines = table_lines(before);
    const auto new_lines = table_lines(after);
    for (std::size_t i = 0; i < old_lines.size(); ++i) {
        const double old_value = old_lines[i].value;
        out << std::left << std::setw(label_width) << old_lines[i].label << std::right
            << std::setw(value_width) << old_value << std::setw(value_width) << new_lines[i].value;
        if (old_value > 0.0) {
            out << std::setw(value_width) << std::setprecision(2) << new_lines[i].value / old_value
                << std::setprecision(1);
        }
        out << "\n";
    }
    return out.str();
}

} // namespace coriander
