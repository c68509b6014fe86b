#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace coriander {

/// Counters, gauges and latency histograms, shown in the Prometheus text form. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter. `labels` is the inner text of the braces, such as `service="a"`, or empty.
    void add(const std::string& name, const std::string& labels = {}, double amount = 1.0);

    /// Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    /// Counts a duration in seconds.
    void observe(const std::string& name, const std::string& labels, double seconds);

    /// All metrics as text.
    [[nodiscard]] std::string text() const;

private:
    struct series;
    mutable std::mutex mutex; ///< Guards `all`; a leaf: no other lock is taken under it.
    std::unique_ptr<series> all;
};

} // namespace coriander
