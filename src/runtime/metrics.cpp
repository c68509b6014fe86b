#include "runtime/metrics.hpp"

#include <boost/histogram.hpp>

#include <sstream>

namespace coriander {
namespace {

namespace histograms = boost::histogram;

constexpr unsigned latency_bins = 48;
constexpr double min_latency_s = 0.0005;
constexpr double max_latency_s = 120.0;

using log_axis = histograms::axis::regular<double, histograms::axis::transform::log>;

auto make_latency_histogram()
{
    return histograms::make_histogram(log_axis{latency_bins, min_latency_s, max_latency_s});
}

struct latency_series {
    decltype(make_latency_histogram()) histogram = make_latency_histogram();
    double sum = 0.0;
};

/// Identifies a time series.
struct series_key {
    std::string name;
    std::string labels;
    auto operator<=>(const series_key&) const = default;
};

std::string label_set(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void write_histogram(std::ostream& out, const series_key& key, const latency_series& latency)
{
    const auto prefix = key.labels.empty() ? std::string{} : key.labels + ",";
    double cumulative = latency.histogram.at(-1);
    for (const auto& bin : histograms::indexed(latency.histogram)) {
        cumulative += *bin;
        out << key.name << "_bucket{" << prefix << "le=\"" << bin.bin(0).upper() << "\"} " << cumulative
            << "\n";
    }
    cumulative += latency.histogram.at(static_cast<int>(latency_bins));
    out << key.name << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative << "\n";
    out << key.name << "_sum" << label_set(key.labels) << " " << latency.sum << "\n";
    out << key.name << "_count" << label_set(key.labels) << " " << cumulative << "\n";
}

void write_values(std::ostream& out, const std::map<series_key, double>& values, const char* type)
{
    std::string last_name;
    for (const auto& [key, value] : values) {
        if (key.name != last_name) {
            out << "# TYPE " << key.name << " " << type << "\n";
            last_name = key.name;
        }
        out << key.name << label_set(key.labels) << " " << value << "\n";
    }
}

} // namespace

struct metrics::series_maps {
    std::map<series_key, double> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, latency_series> latencies;
};

metrics::metrics() : series{std::make_unique<series_maps>()} {}

metrics::~metrics() = default;

void metrics::add(const std::string& name, const std::string& labels, double amount)
{
    const std::scoped_lock lock{this->mutex};
    this->series->counters[{name, labels}] += amount;
}

void metrics::set(const std::string& name, const std::string& labels, double value)
{
    const std::scoped_lock lock{this->mutex};
    this->series->gauges[{name, labels}] = value;
}

void metrics::replace(const std::string& name, const std::map<std::string, int>& values)
{
    const std::scoped_lock lock{this->mutex};
    auto& gauges = this->series->gauges;
    std::erase_if(gauges, [&](const auto& item) { return item.first.name == name; });
    for (const auto& [labels, value] : values) {
        gauges[{name, labels}] = value;
    }
}

void metrics::observe(const std::string& name, const std::string& labels, double seconds)
{
    const std::scoped_lock lock{this->mutex};
    auto& latency = this->series->latencies[{name, labels}];
    latency.histogram(seconds);
    latency.sum += seconds;
}

std::string metrics::text() const
{
    const std::scoped_lock lock{this->mutex};
    std::ostringstream out;
    constexpr int digits = 12;
    out.precision(digits);
    write_values(out, this->series->counters, "counter");
    write_values(out, this->series->gauges, "gauge");
    std::string last_name;
    for (const auto& [key, latency] : this->series->latencies) {
        if (key.name != last_name) {
            out << "# TYPE " << key.name << " histogram\n";
            last_name = key.name;
        }
        write_histogram(out, key, latency);
    }
    return out.str();
}

} // namespace coriander
