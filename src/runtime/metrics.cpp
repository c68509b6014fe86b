#include "runtime/metrics.hpp"

#include <boost/histogram.hpp>

#include <sstream>

namespace coriander {
namespace {

namespace histograms = boost::histogram;

constexpr unsigned latency_bins = 48;
constexpr double least_latency_s = 0.0005;
constexpr double largest_latency_s = 120.0;

using log_axis = histograms::axis::regular<double, histograms::axis::transform::log>;

auto make_latency_histogram()
{
    return histograms::make_histogram(log_axis{latency_bins, least_latency_s, largest_latency_s});
}

struct latency_series {
    decltype(make_latency_histogram()) bins = make_latency_histogram();
    double sum = 0.0;
};

/// Names and labels of one series.
struct series_key {
    std::string name;
    std::string labels;
    auto operator<=>(const series_key&) const = default;
};

std::string braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void write_histogram(std::ostream& out, const series_key& key, const latency_series& one)
{
    const auto prefix = key.labels.empty() ? std::string{} : key.labels + ",";
    double below = one.bins.at(-1);
    for (const auto& bin : histograms::indexed(one.bins)) {
        below += *bin;
        out << key.name << "_bucket{" << prefix << "le=\"" << bin.bin(0).upper() << "\"} " << below << "\n";
    }
    below += one.bins.at(static_cast<int>(latency_bins));
    out << key.name << "_bucket{" << prefix << "le=\"+Inf\"} " << below << "\n";
    out << key.name << "_sum" << braces(key.labels) << " " << one.sum << "\n";
    out << key.name << "_count" << braces(key.labels) << " " << below << "\n";
}

void write_values(std::ostream& out, const std::map<series_key, double>& values, const char* type)
{
    std::string last_name;
    for (const auto& [key, value] : values) {
        if (key.name != last_name) {
            out << "# TYPE " << key.name << " " << type << "\n";
            last_name = key.name;
        }
        out << key.name << braces(key.labels) << " " << value << "\n";
    }
}

} // namespace

struct metrics::series {
    std::map<series_key, double> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, latency_series> latencies;
};

metrics::metrics() : all{std::make_unique<series>()} {}

metrics::~metrics() = default;

void metrics::add(const std::string& name, const std::string& labels, double amount)
{
    const std::scoped_lock lock{this->mutex};
    this->all->counters[{name, labels}] += amount;
}

void metrics::set(const std::string& name, const std::string& labels, double value)
{
    const std::scoped_lock lock{this->mutex};
    this->all->gauges[{name, labels}] = value;
}

void metrics::observe(const std::string& name, const std::string& labels, double seconds)
{
    const std::scoped_lock lock{this->mutex};
    auto& one = this->all->latencies[{name, labels}];
    one.bins(seconds);
    one.sum += seconds;
}

std::string metrics::text() const
{
    const std::scoped_lock lock{this->mutex};
    std::ostringstream out;
    constexpr int digits = 12;
    out.precision(digits);
    write_values(out, this->all->counters, "counter");
    write_values(out, this->all->gauges, "gauge");
    std::string last_name;
    for (const auto& [key, one] : this->all->latencies) {
        if (key.name != last_name) {
            out << "# TYPE " << key.name << " histogram\n";
            last_name = key.name;
        }
        write_histogram(out, key, one);
    }
    return out.str();
}

} // namespace coriander
