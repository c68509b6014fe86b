#include "coriander/strike_table.hpp"

#include <algorithm>

namespace coriander {

strike_verdict strike_table::classify(const request_digest& digest, time_ms now) const
{
    const auto found = this->entries.find(digest);
    if (found == this->entries.end() || now - found->second.changed > this->settings.retention) {
        return strike_verdict::clear;
    }
    const auto& report = found->second.report;
    if (report.deaths_alone >= this->settings.max_deaths_alone) {
        return strike_verdict::refused;
    }
    return report.deaths > 0 && !report.cleared ? strike_verdict::suspect : strike_verdict::clear;
}

void strike_table::on_target_death(const std::vector<request_digest>& running, bool was_alone, time_ms now)
{
    const std::set<request_digest> distinct{running.begin(), running.end()};
    for (const auto& digest : distinct) {
        auto& entry = this->entries[digest];
        entry.report.digest = digest;
        ++entry.report.deaths;
        entry.report.deaths_alone += was_alone ? 1 : 0;
        entry.report.cleared = false;
        entry.changed = now;
    }
    this->erase_old_entries(now);
}

void strike_table::on_success(const request_digest& digest, time_ms now)
{
    const auto found = this->entries.find(digest);
    if (found != this->entries.end() && !found->second.report.cleared) {
        found->second.report.cleared = true;
        found->second.changed = now;
    }
}

void strike_table::merge(const strike_report& report, time_ms now)
{
    auto& entry = this->entries[report.digest];
    auto& known = entry.report;
    const bool is_newer = known.digest.empty() || report.deaths > known.deaths ||
                          report.deaths_alone > known.deaths_alone ||
                          (report.deaths == known.deaths && report.cleared && !known.cleared);
    if (is_newer) {
        // The reporting router's "cleared" covers only the deaths that it knew of.
        known.cleared = report.deaths >= known.deaths && report.cleared;
        known.digest = report.digest;
        known.deaths = std::max(known.deaths, report.deaths);
        known.deaths_alone = std::max(known.deaths_alone, report.deaths_alone);
        entry.changed = now;
    }
    this->erase_old_entries(now);
}

std::vector<strike_report> strike_table::recent(std::size_t limit, time_ms now) const
{
    std::vector<const history*> newest;
    for (const auto& [digest, entry] : this->entries) {
        if (now - entry.changed <= this->settings.retention) {
            newest.push_back(&entry);
        }
    }
    std::sort(newest.begin(), newest.end(),
              [](const history* a, const history* b) { return a->changed > b->changed; });
    newest.resize(std::min(limit, newest.size()));
    std::vector<strike_report> reports;
    reports.reserve(newest.size());
    for (const auto* entry : newest) {
        reports.push_back(entry->report);
    }
    return reports;
}

void strike_table::erase_old_entries(time_ms now)
{
    std::erase_if(this->entries,
                  [&](const auto& item) { return now - item.second.changed > this->settings.retention; });
    while (this->entries.size() > this->settings.max_entries) {
        const auto oldest =
            std::min_element(this->entries.begin(), this->entries.end(), [](const auto& a, const auto& b) {
                return a.second.changed < b.second.changed;
            });
        this->entries.erase(oldest);
    }
}

} // namespace coriander
