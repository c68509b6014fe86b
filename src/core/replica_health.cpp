#include "coriander/replica_health.hpp"

namespace coriander {

const char* name_of(replica_fault fault) noexcept
{
    switch (fault) {
    case replica_fault::none:
        return "none";
    case replica_fault::not_wanted:
        return "not_wanted";
    case replica_fault::host_silent:
        return "host_silent";
    case replica_fault::wrong_incarnation:
        return "wrong_incarnation";
    case replica_fault::wrong_generation:
        return "wrong_generation";
    case replica_fault::loading:
        return "loading";
    }
    return "unknown";
}

void replica_health::on_report(const host_report& report, time_ms asked_at)
{
    auto& entry = this->hosts[report.host];
    if (entry.report.host.empty() || asked_at >= entry.at) {
        entry = {report, asked_at};
    }
}

void replica_health::on_host_lost(const std::string& host)
{
    this->hosts.erase(host);
}

const host_report* replica_health::fresh_report(const std::string& host, time_ms now) const
{
    const auto found = this->hosts.find(host);
    const bool is_fresh = found != this->hosts.end() && now - found->second.at <= this->window;
    return is_fresh ? &found->second.report : nullptr;
}

std::optional<time_ms> replica_health::last_report_time(const std::string& host) const
{
    const auto found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return std::nullopt;
    }
    return found->second.at;
}

replica_check_result replica_health::check(const replica_record& replica, time_ms now) const
{
    if (replica.state != replica_state::serving || replica.members.empty()) {
        return {replica_fault::not_wanted, {}};
    }
    for (const auto& member : replica.members) {
        const auto* report = this->fresh_report(member.host, now);
        if (report == nullptr) {
            return {replica_fault::host_silent, member.host};
        }
        if (report->incarnation != member.incarnation) {
            return {replica_fault::wrong_incarnation, member.host};
        }
        if (report->replica != replica.id() || report->generation != replica.generation) {
            return {replica_fault::wrong_generation, member.host};
        }
        if (!report->ready) {
            return {replica_fault::loading, member.host};
        }
    }
    return {};
}

} // namespace coriander
