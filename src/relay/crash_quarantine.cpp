#include "coriander/relay/crash_quarantine.hpp"

#include <algorithm>
#include <tuple>

namespace coriander {
namespace {

bool is_subset(std::span<const fingerprint> part, std::span<const fingerprint> whole)
{
    return std::all_of(part.begin(), part.end(), [&](fingerprint one) {
        return std::find(whole.begin(), whole.end(), one) != whole.end();
    });
}

} // namespace

void crash_quarantine::add(const crash_suspect& suspect, time_ms now)
{
    if (suspect.age >= this->settings.retention || suspect.fingerprints.empty() ||
        this->is_obsolete(suspect, suspect.age)) {
        return;
    }
    const bool is_known = std::any_of(this->records.begin(), this->records.end(), [&](const record& one) {
        return one.suspect.crash == suspect.crash && one.suspect.fingerprints == suspect.fingerprints;
    });
    if (is_known) {
        return;
    }
    const bool is_new = suspect.age < this->settings.explained_retention;
    this->records.push_back({suspect, now - suspect.age, is_new ? copies : 0});
    if (this->records.size() > this->settings.max_suspects) {
        this->records.erase(std::min_element(this->records.begin(), this->records.end(),
                                             [](const auto& a, const auto& b) { return a.at < b.at; }));
    }
    this->is_outdated = true;
}

void crash_quarantine::on_cleared(std::span<const fingerprint> prints, time_ms started_at, time_ms now)
{
    for (const auto print : prints) {
        auto& latest = this->cleared.try_emplace(print, started_at).first->second;
        latest = std::max(latest, started_at);
        this->is_outdated = this->is_outdated || this->contested.contains(print);
    }
    this->limit_cleared(now);
}

void crash_quarantine::limit_cleared(time_ms now)
{
    if (this->cleared.size() <= this->settings.max_cleared) {
        return;
    }
    std::vector<time_ms> times;
    times.reserve(this->cleared.size());
    for (const auto& [print, at] : this->cleared) {
        times.push_back(at);
    }
    const auto quarter = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::nth_element(times.begin(), quarter, times.end());
    const auto oldest_kept = std::max(*quarter, now - this->settings.retention);
    std::erase_if(this->cleared, [&](const auto& item) { return item.second <= oldest_kept; });
}

void crash_quarantine::merge(const crash_update& update, time_ms now)
{
    for (const auto& suspect : update.suspects) {
        this->add(suspect, now);
    }
    for (const auto& report : update.cleared) {
        this->on_cleared({&report.print, 1}, now - report.age, now);
    }
}

bool crash_quarantine::is_cleared(fingerprint print, time_ms crashed_at) const
{
    const auto found = this->cleared.find(print);
    return found != this->cleared.end() && found->second > crashed_at;
}

crash_quarantine::evidence_map crash_quarantine::collect_evidence(time_ms now)
{
    evidence_map found;
    this->pending_until = {};
    for (const auto& one : this->records) {
        const auto reported_at = one.at + this->settings.report_delay;
        for (const auto print : one.suspect.fingerprints) {
            if (this->cleared.contains(print) && now < reported_at) {
                this->pending_until = this->pending_until == time_ms{}
                                          ? reported_at
                                          : std::min(this->pending_until, reported_at);
            }
            else if (!this->is_cleared(print, one.at)) {
                auto& own = found[print];
                own.crashes.try_emplace(one.suspect.crash, one.at);
                own.started += one.suspect.had_started ? 1 : 0;
            }
        }
    }
    return found;
}

bool crash_quarantine::qualifies(fingerprint print, const evidence& found) const
{
    const bool has_succeeded = this->cleared.contains(print);
    const auto min_crashes =
        has_succeeded ? this->settings.min_crashes_after_success : this->settings.min_crashes;
    const auto min_span = has_succeeded ? this->settings.min_span_after_success : this->settings.min_span;
    if (found.crashes.size() < min_crashes) {
        return false;
    }
    const auto [first, last] =
        std::minmax_element(found.crashes.begin(), found.crashes.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
    return last->second - first->second >= min_span;
}

std::optional<fingerprint> crash_quarantine::best_explanation(const evidence_map& found) const
{
    const auto strength = [this](fingerprint print, const evidence& own) {
        return std::tuple{own.crashes.size(), !this->cleared.contains(print), own.started};
    };
    const evidence_map::value_type* best = nullptr;
    for (const auto& item : found) {
        const bool is_better =
            best == nullptr || strength(item.first, item.second) > strength(best->first, best->second);
        if (this->qualifies(item.first, item.second) && is_better) {
            best = &item;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->first};
}

/// The fingerprints that can't be told apart from `chosen`: in each of its crashes, one request had them all.
std::vector<fingerprint> crash_quarantine::indistinguishable_prints(fingerprint chosen,
                                                                    const evidence_map& found) const
{
    const auto& crashes = found.at(chosen).crashes;
    std::vector<const crash_suspect*> with_chosen;
    for (const auto& one : this->records) {
        if (crashes.contains(one.suspect.crash) && is_subset({&chosen, 1}, one.suspect.fingerprints)) {
            with_chosen.push_back(&one.suspect);
        }
    }
    const auto occur_in_each_crash = [&](std::span<const fingerprint> prints) {
        std::set<std::uint64_t> seen;
        for (const auto* suspect : with_chosen) {
            if (is_subset(prints, suspect->fingerprints)) {
                seen.insert(suspect->crash);
            }
        }
        return seen.size() == crashes.size();
    };
    const bool has_succeeded = this->cleared.contains(chosen);
    std::vector<fingerprint> together{chosen};
    for (const auto& [print, own] : found) {
        if (print == chosen || own.crashes.size() != crashes.size() ||
            this->cleared.contains(print) != has_succeeded) {
            continue;
        }
        together.push_back(print);
        if (!occur_in_each_crash(together)) {
            together.pop_back();
        }
    }
    std::sort(together.begin(), together.end());
    return together;
}

/// Repeatedly quarantines the fingerprint that explains the most crashes, and sets these crashes aside.
void crash_quarantine::rebuild(time_ms now)
{
    this->is_outdated = false;
    this->quarantined.clear();
    this->explained.clear();
    this->contested = this->find_contested(now);
    auto found = this->collect_evidence(now);
    while (const auto chosen = this->best_explanation(found)) {
        quarantine_entry entry{this->indistinguishable_prints(*chosen, found), 0, {}};
        const auto crashes = found.at(*chosen).crashes;
        entry.crashes = crashes.size();
        for (const auto& [crash, at] : crashes) {
            entry.last_crash = std::max(entry.last_crash, at);
            this->explained[crash] = this->quarantined.size();
        }
        for (auto& [print, own] : found) {
            std::erase_if(own.crashes, [&](const auto& item) { return crashes.contains(item.first); });
        }
        this->quarantined.push_back(std::move(entry));
    }
    std::erase_if(this->records,
                  [&](const record& one) { return this->is_obsolete(one.suspect, now - one.at); });
}

bool crash_quarantine::is_obsolete(const crash_suspect& suspect, time_ms age) const
{
    const auto found = this->explained.find(suspect.crash);
    return found != this->explained.end() && age > this->settings.explained_retention &&
           !is_subset(this->quarantined[found->second].prints, suspect.fingerprints);
}

std::set<fingerprint> crash_quarantine::find_contested(time_ms now) const
{
    std::map<fingerprint, std::set<std::uint64_t>> recent;
    for (const auto& one : this->records) {
        if (now - one.at <= this->settings.explained_retention) {
            for (const auto print : one.suspect.fingerprints) {
                recent[print].insert(one.suspect.crash);
            }
        }
    }
    std::set<fingerprint> result;
    for (const auto& [print, crashes] : recent) {
        if (crashes.size() >= min_contested_crashes) {
            result.insert(print);
        }
    }
    return result;
}

bool crash_quarantine::evaluate(time_ms now)
{
    const auto dropped = std::erase_if(
        this->records, [&](const record& one) { return now - one.at >= this->settings.retention; });
    const bool is_pending = this->pending_until > time_ms{} && now >= this->pending_until;
    if (!this->is_outdated && !is_pending && dropped == 0) {
        return false;
    }
    const auto before = this->quarantined;
    this->rebuild(now);
    return this->quarantined != before;
}

const quarantine_entry* crash_quarantine::find_entry(std::span<const fingerprint> prints) const
{
    const auto found =
        std::find_if(this->quarantined.begin(), this->quarantined.end(),
                     [&](const quarantine_entry& entry) { return is_subset(entry.prints, prints); });
    return found == this->quarantined.end() ? nullptr : &*found;
}

quarantine_verdict crash_quarantine::classify(std::span<const fingerprint> prints,
                                              const std::function<bool(fingerprint)>& may_probe, time_ms now)
{
    const auto* entry = this->find_entry(prints);
    if (entry == nullptr) {
        return quarantine_verdict::clear;
    }
    auto& next_probe = this->next_probes[entry->prints.front()];
    if (now - entry->last_crash < this->settings.block_time || now < next_probe ||
        !may_probe(entry->prints.front())) {
        return quarantine_verdict::blocked;
    }
    next_probe = now + this->settings.probe_interval;
    return quarantine_verdict::probe;
}

time_ms crash_quarantine::retry_after(std::span<const fingerprint> prints, time_ms now) const
{
    const auto* entry = this->find_entry(prints);
    if (entry == nullptr) {
        return {};
    }
    constexpr time_ms min_wait = 1_s;
    return std::clamp(now - entry->last_crash, min_wait, this->settings.block_time);
}

bool crash_quarantine::is_suspect(std::span<const fingerprint> prints) const
{
    return std::any_of(this->records.begin(), this->records.end(), [&](const record& one) {
        const auto& own = one.suspect.fingerprints;
        return std::any_of(own.begin(), own.end(), [&](fingerprint print) {
            return !this->cleared.contains(print) &&
                   std::find(prints.begin(), prints.end(), print) != prints.end();
        });
    });
}

crash_update crash_quarantine::newest(std::size_t limit, time_ms now) const
{
    crash_update update;
    for (const auto& one : this->records) {
        this->append_suspect(update, one, now);
    }
    std::sort(update.suspects.begin(), update.suspects.end(),
              [](const auto& a, const auto& b) { return a.age < b.age; });
    update.suspects.resize(std::min(update.suspects.size(), limit));
    this->append_cleared(update, limit, now);
    return update;
}

void crash_quarantine::append_suspect(crash_update& update, const record& one, time_ms now) const
{
    if (!this->is_obsolete(one.suspect, now - one.at)) {
        update.suspects.push_back(one.suspect);
        update.suspects.back().age = now - one.at;
    }
}

void crash_quarantine::append_cleared(crash_update& update, std::size_t limit, time_ms now) const
{
    std::set<fingerprint> prints = this->contested;
    for (const auto& suspect : update.suspects) {
        prints.insert(suspect.fingerprints.begin(), suspect.fingerprints.end());
    }
    for (const auto print : prints) {
        const auto found = this->cleared.find(print);
        if (found != this->cleared.end() && update.cleared.size() < limit) {
            update.cleared.push_back({print, now - found->second});
        }
    }
}

crash_update crash_quarantine::next_update(std::size_t limit, time_ms now)
{
    crash_update update;
    for (auto& one : this->records) {
        if (one.copies_left > 0 && update.suspects.size() < limit) {
            --one.copies_left;
            this->append_suspect(update, one, now);
        }
    }
    for (std::size_t i = 0; i < std::min(repeated_reports, this->records.size()); ++i) {
        const auto& one = this->records[this->repeat_cursor++ % this->records.size()];
        if (update.suspects.size() < limit) {
            this->append_suspect(update, one, now);
        }
    }
    this->append_cleared(update, limit, now);
    return update;
}

} // namespace coriander
