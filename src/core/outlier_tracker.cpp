#include "coriander/outlier_tracker.hpp"

#include <algorithm>

namespace coriander {
namespace {

constexpr double latency_gain = 0.2;
constexpr std::uint32_t max_backoff_doublings = 5;

} // namespace

void outlier_tracker::on_success(const std::string& target, time_ms latency, time_ms now)
{
    auto& state = this->targets[target];
    const auto sample = static_cast<double>(latency.count());
    state.latency_ms =
        state.samples == 0 ? sample : state.latency_ms + latency_gain * (sample - state.latency_ms);
    ++state.samples;
    state.consecutive_failures = 0;
    const bool is_slow = state.samples >= this->settings.minimum_samples &&
                         this->relative_latency(target) > this->settings.max_relative_latency;
    if (is_slow) {
        this->eject(state, now);
        return;
    }
    if (state.ejected_until <= now && state.ejections > 0) {
        --state.ejections;
    }
}

void outlier_tracker::on_failure(const std::string& target, time_ms now)
{
    auto& state = this->targets[target];
    ++state.consecutive_failures;
    if (state.consecutive_failures >= this->settings.consecutive_failures) {
        this->eject(state, now);
    }
}

void outlier_tracker::eject(target_state& state, time_ms now)
{
    if (state.ejected_until > now) {
        return;
    }
    const auto ejected = std::count_if(this->targets.begin(), this->targets.end(),
                                       [now](const auto& item) { return item.second.ejected_until > now; });
    const double allowed = this->settings.max_ejected_share * static_cast<double>(this->targets.size());
    if (static_cast<double>(ejected + 1) > allowed) {
        return;
    }
    const auto doublings = std::min(state.ejections, max_backoff_doublings);
    const auto duration = this->settings.base_ejection * (std::int64_t{1} << doublings);
    state.ejected_until = now + std::min(duration, this->settings.max_ejection);
    ++state.ejections;
    // Only samples after the ejection show whether the target has recovered.
    state.samples = 0;
    state.consecutive_failures = 0;
}

bool outlier_tracker::is_ejected(const std::string& target, time_ms now) const
{
    const auto found = this->targets.find(target);
    return found != this->targets.end() && found->second.ejected_until > now;
}

double outlier_tracker::median_latency() const
{
    std::vector<double> latencies;
    for (const auto& [name, state] : this->targets) {
        if (state.samples > 0) {
            latencies.push_back(state.latency_ms);
        }
    }
    constexpr std::size_t min_targets_for_median = 3;
    if (latencies.size() < min_targets_for_median) {
        return 0.0;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

double outlier_tracker::relative_latency(const std::string& target) const
{
    const auto found = this->targets.find(target);
    const double median = this->median_latency();
    if (found == this->targets.end() || found->second.samples == 0 || median <= 0.0) {
        return 1.0;
    }
    return std::max(1.0, found->second.latency_ms / median);
}

void outlier_tracker::retain(const std::vector<std::string>& present)
{
    std::erase_if(this->targets, [&](const auto& item) {
        return std::find(present.begin(), present.end(), item.first) == present.end();
    });
}

} // namespace coriander
