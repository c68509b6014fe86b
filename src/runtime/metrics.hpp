#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace coriander {

/// Counters, gauges and latency histograms, exported in the Prometheus text format. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter. `labels` is the text between the braces, such as `service="a"`, or empty.
    void add(const std::string& name, const std::string& labels = {}, double amount = 1.0);

    /// Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    /// Sets a gauge for each of these labels, and removes those of other labels.
    void replace(const std::string& name, const std::map<std::string, int>& values);

    /// Adds a duration, in seconds, to a latency histogram.
    void observe(const std::string& name, const std::string& labels, double seconds);

    /// All metrics as text.
    [[nodiscard]] std::string text() const;

private:
    struct series_maps;
    mutable std::mutex mutex; ///< Guards `series`. No other lock is taken while it is held.
    std::unique_ptr<series_maps> series;
};

} // namespace coriander
