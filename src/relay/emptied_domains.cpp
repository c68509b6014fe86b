#include "coriander/relay/emptied_domains.hpp"

#include <algorithm>

namespace coriander {

bool emptied_domains::on_report(const emptied_domain_report& report, time_ms now)
{
    if (this->domains.size() >= max_domains && !this->domains.contains(report.domain)) {
        return false;
    }
    const auto since = now - std::max(report.age, time_ms{});
    const auto [entry, is_new] = this->domains.try_emplace(report.domain);
    auto& state = entry->second;
    if (!is_new && report.version == state.version && report.is_emptied == state.is_emptied) {
        // The state was reached earlier than it seemed: its first report was late.
        state.since = std::min(state.since, since);
        return false;
    }
    if (!is_new && report.version <= state.version) {
        return false;
    }
    const bool was_emptied = state.is_emptied;
    // The share at a time in the past is not known; the current one is close to it.
    state.share_before = is_new ? 1.0 : share_of(state, now);
    state.version = report.version;
    state.is_emptied = report.is_emptied;
    state.since = since;
    this->emptied_count += report.is_emptied ? 1 : 0;
    this->emptied_count -= was_emptied ? 1 : 0;
    return report.is_emptied != was_emptied;
}

double emptied_domains::share_of(const domain_state& state, time_ms now)
{
    const auto elapsed = static_cast<double>((now - state.since).count());
    if (state.is_emptied) {
        return std::clamp(state.share_before - elapsed / static_cast<double>(emptying_time.count()), 0.0,
                          1.0);
    }
    return std::clamp(state.share_before + elapsed / static_cast<double>(return_time.count()), 0.0, 1.0);
}

double emptied_domains::share(std::string_view domain, time_ms now) const
{
    const auto found = this->domains.find(domain);
    return found == this->domains.end() ? 1.0 : share_of(found->second, now);
}

bool emptied_domains::is_emptied(std::string_view domain) const
{
    const auto found = this->domains.find(domain);
    return found != this->domains.end() && found->second.is_emptied;
}

std::vector<emptied_domain_report> emptied_domains::reports(time_ms now) const
{
    std::vector<emptied_domain_report> found;
    for (const auto& [name, state] : this->domains) {
        const auto age = now - state.since;
        if ((state.is_emptied || age < report_time) && found.size() < max_reports) {
            found.push_back({name, state.version, state.is_emptied, age});
        }
    }
    return found;
}

std::map<std::string, double> emptied_domains::shares(time_ms now) const
{
    std::map<std::string, double> found;
    for (const auto& [name, state] : this->domains) {
        found.emplace(name, share_of(state, now));
    }
    return found;
}

} // namespace coriander
