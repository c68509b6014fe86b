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
constexpr double least_ms = 0.05;
constexpr double largest_ms = 600'000.0;
constexpr std::array all_outcomes{load_outcome::whole,    load_outcome::refused, load_outcome::cut,
                                  load_outcome::mixed_up, load_outcome::failed,  load_outcome::unknown,
                                  load_outcome::lost};

using log_axis = histograms::axis::regular<double, histograms::axis::transform::log>;

auto make_latencies()
{
    return histograms::make_histogram(log_axis{bins, least_ms, largest_ms});
}

using latency_histogram = decltype(make_latencies());

double quantile(const latency_histogram& latencies, double share)
{
    double total = 0.0;
    for (const auto& bin : histograms::indexed(latencies, histograms::coverage::all)) {
        total += *bin;
    }
    double below = 0.0;
    for (const auto& bin : histograms::indexed(latencies, histograms::coverage::all)) {
        below += *bin;
        if (total > 0.0 && below >= share * total) {
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

std::vector<table_line> lines_of(const load_figures& figures)
{
    std::vector<table_line> lines{{"requests", static_cast<double>(figures.requests)}};
    for (const auto outcome : all_outcomes) {
        lines.push_back(
            {std::string{"  "} + name_of(outcome), static_cast<double>(figures.count_of(outcome))});
    }
    lines.push_back({"first token p50 (ms)", figures.first_token_ms.p50});
    lines.push_back({"first token p95 (ms)", figures.first_token_ms.p95});
    lines.push_back({"first token p99 (ms)", figures.first_token_ms.p99});
    lines.push_back({"between tokens p50 (ms)", figures.between_tokens_ms.p50});
    lines.push_back({"between tokens p95 (ms)", figures.between_tokens_ms.p95});
    lines.push_back({"between tokens p99 (ms)", figures.between_tokens_ms.p99});
    lines.push_back({"tokens per second", figures.tokens_per_second});
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
    load_figures sums;
    latency_histogram first = make_latencies();
    latency_histogram between = make_latencies();
};

load_report::load_report() : self{std::make_unique<state>()} {}

load_report::~load_report() = default;

void load_report::count(load_outcome outcome, const std::string& customer)
{
    ++this->self->sums.requests;
    ++this->self->sums.outcomes[name_of(outcome)];
    this->self->sums.whole_by_customer[customer] += outcome == load_outcome::whole ? 1 : 0;
}

void load_report::first_token(double ms)
{
    this->self->first(ms);
}

void load_report::between_tokens(double ms)
{
    this->self->between(ms);
}

load_figures load_report::figures(double seconds) const
{
    auto figures = this->self->sums;
    figures.first_token_ms = percentiles_of(this->self->first);
    figures.between_tokens_ms = percentiles_of(this->self->between);
    figures.seconds = seconds;
    const auto tokens = figures.first_token_ms.count + figures.between_tokens_ms.count;
    figures.tokens_per_second = seconds > 0.0 ? static_cast<double>(tokens) / seconds : 0.0;
    return figures;
}

std::uint64_t load_figures::count_of(load_outcome outcome) const
{
    const auto found = this->outcomes.find(name_of(outcome));
    return found == this->outcomes.end() ? 0 : found->second;
}

bool load_figures::has_broken_answers() const
{
    return this->count_of(load_outcome::lost) + this->count_of(load_outcome::mixed_up) +
               this->count_of(load_outcome::cut) >
           0;
}

std::string figures_json(const load_figures& figures)
{
    return to_text({{"requests", figures.requests},
                    {"outcomes", figures.outcomes},
                    {"whole_by_customer", figures.whole_by_customer},
                    {"first_token_ms", to_json(figures.first_token_ms)},
                    {"between_tokens_ms", to_json(figures.between_tokens_ms)},
                    {"seconds", figures.seconds},
                    {"tokens_per_second", figures.tokens_per_second}});
}

load_figures parse_figures(std::string_view text)
{
    load_figures figures;
    const auto object = parse_object(text);
    if (!object) {
        return figures;
    }
    figures.requests = static_cast<std::uint64_t>(integer_member(*object, "requests"));
    const auto outcomes = object_member(*object, "outcomes").value_or(json_object::object());
    for (const auto outcome : all_outcomes) {
        const auto count = integer_member(outcomes, name_of(outcome));
        figures.outcomes[name_of(outcome)] = static_cast<std::uint64_t>(count);
    }
    figures.first_token_ms = percentiles_from(*object, "first_token_ms");
    figures.between_tokens_ms = percentiles_from(*object, "between_tokens_ms");
    figures.seconds = number_member(*object, "seconds");
    figures.tokens_per_second = number_member(*object, "tokens_per_second");
    return figures;
}

std::string figures_table(const load_figures& figures)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (const auto& line : lines_of(figures)) {
        out << std::left << std::setw(label_width) << line.label << std::right << std::setw(value_width)
            << line.value << "\n";
    }
    return out.str();
}

std::string comparison_table(const load_figures& before, const load_figures& after)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << std::left << std::setw(label_width) << "" << std::right << std::setw(value_width) << "before"
        << std::setw(value_width) << "after" << std::setw(value_width) << "ratio"
        << "\n";
    const auto old_lines = lines_of(before);
    const auto new_lines = lines_of(after);
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
