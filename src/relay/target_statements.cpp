#include "coriander/relay/target_statements.hpp"

#include "coriander/digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coriander {

host_key key_of_host(std::string_view id, std::uint64_t incarnation, std::string_view address)
{
    return stable_hash(address, stable_hash(id, incarnation));
}

bool target_statements::on_leaving(host_key host, time_ms now)
{
    auto& entry = this->entry_of(host, now);
    const bool is_new = !entry.is_leaving;
    entry.is_leaving = true;
    this->leaving_count += is_new ? 1 : 0;
    return is_new;
}

bool target_statements::is_leaving(host_key host) const
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && found->second.is_leaving;
}

bool target_statements::on_pause(host_key host, time_ms wait, double noise, time_ms now)
{
    const auto length = std::min(wait, max_wait);
    auto& entry = this->entry_of(host, now);
    if (now >= entry.pause_end + entry.share) {
        const auto spread = std::clamp(length / wait_per_spread, min_spread, max_spread);
        entry.share = time_ms{static_cast<std::int64_t>(noise * static_cast<double>(spread.count()))};
    }
    const bool is_longer = now + length > entry.pause_end;
    entry.pause_end = std::max(entry.pause_end, now + length);
    return is_longer;
}

time_ms target_statements::paused_until(host_key host) const
{
    const auto found = this->hosts.find(host);
    const bool has_paused = found != this->hosts.end() && found->second.pause_end > time_ms{};
    return has_paused ? found->second.pause_end + found->second.share : time_ms{};
}

bool target_statements::on_peer_statement(const host_statement& statement, double noise, time_ms now)
{
    const auto found = this->hosts.find(statement.host);
    const bool is_known = found != this->hosts.end();
    const bool is_new_leaving = statement.is_leaving && !(is_known && found->second.is_leaving);
    const auto known_end = is_known ? found->second.pause_end : time_ms{};
    const bool is_new_pause = statement.pause_left > time_ms{} &&
                              now + std::min(statement.pause_left, max_wait) > known_end + peer_tolerance;
    if (is_new_leaving) {
        this->on_leaving(statement.host, now);
    }
    if (is_new_pause) {
        this->on_pause(statement.host, statement.pause_left, noise, now);
    }
    return is_new_leaving || is_new_pause;
}

statement_counts target_statements::counts(time_ms now) const
{
    statement_counts found;
    for (const auto& [host, known] : this->hosts) {
        found.leaving += known.is_leaving ? 1 : 0;
        found.pauses += now < known.pause_end ? 1 : 0;
    }
    return found;
}

std::vector<host_statement> target_statements::report(std::size_t limit, time_ms now) const
{
    std::vector<std::pair<time_ms, host_statement>> found;
    for (const auto& [host, known] : this->hosts) {
        const auto pause_left = std::max(time_ms{}, known.pause_end - now);
        const bool is_in_force = known.is_leaving || pause_left > time_ms{};
        if (is_in_force && now - known.stated_at < report_time) {
            found.push_back({known.stated_at, {host, pause_left, known.is_leaving}});
        }
    }
    const auto count = std::min(found.size(), limit);
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
                      [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<host_statement> newest;
    std::transform(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count),
                   std::back_inserter(newest), [](const auto& one) { return one.second; });
    return newest;
}

target_statements::known_host& target_statements::entry_of(host_key host, time_ms now)
{
    if (this->hosts.size() >= max_hosts && !this->hosts.contains(host)) {
        this->hosts.erase(
            std::min_element(this->hosts.begin(), this->hosts.end(), [](const auto& a, const auto& b) {
                return a.second.stated_at < b.second.stated_at;
            }));
    }
    auto& entry = this->hosts[host];
    entry.stated_at = now;
    return entry;
}

} // namespace coriander
