#include "gateway/fleet_events.hpp"

#include "runtime/log.hpp"

#include <map>
#include <optional>

namespace coriander {
namespace {

/// The age of information received at `at`; "never" if there is none.
std::string age_text(std::optional<time_ms> at, time_ms now)
{
    return at ? std::to_string((now - *at).count()) + "ms" : "never";
}

/// The assumed state of a host.
std::string state_text(const listed_host* host)
{
    if (host == nullptr) {
        return "unlisted";
    }
    if (!host->part) {
        return "free";
    }
    return host->part->replica + "/" + std::to_string(host->part->generation);
}

} // namespace

void log_placement(const domain_key& key, const domain_reason& reason, row_version version,
                   const fleet_view& view, time_ms now)
{
    const bool has_host = !reason.host.empty();
    log_event(event::placement_decided,
              {{"domain", key.row_key()},
               {"decision", reason.text},
               {"row_version", version.number},
               {"era", version.era},
               {"owner", view.domain(key).record.owner},
               {"hosts", view.hosts_of(key)->size()},
               {"silent", view.silent().size()},
               {"host_state", has_host ? state_text(view.find_host(reason.host)) : std::string{}},
               {"word_age", has_host ? age_text(view.last_report_at(reason.host), now) : std::string{}},
               {"list_age", has_host ? age_text(view.last_listed_at(reason.host), now) : std::string{}}});
}

void log_silent_host(const std::string& host, const char* reason, unsigned unanswered, const fleet_view& view,
                     time_ms now)
{
    log_event(event::host_silent, {{"host", host},
                                   {"why", reason},
                                   {"unanswered", unanswered},
                                   {"host_state", state_text(view.find_host(host))},
                                   {"word_age", age_text(view.last_report_at(host), now)},
                                   {"list_age", age_text(view.last_listed_at(host), now)}});
}

void log_ended_host(const std::string& host)
{
    log_event(event::host_ended, {{"host", host}});
}

void log_replicas(event kind, const domain_key& key, std::vector<std::string>& logged,
                  const std::vector<std::string>& replicas)
{
    if (logged == replicas) {
        return;
    }
    logged = replicas;
    std::string names;
    for (const auto& name : replicas) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_event(kind, {{"domain", key.row_key()}, {"replicas", names}});
}

void log_outdated_record(const domain_key& key, const versioned_domain& domain, bool is_outdated)
{
    log_event(event::placement_outdated, {{"domain", key.row_key()},
                                          {"state", is_outdated ? "waits" : "acts"},
                                          {"revision", domain.record.revision},
                                          {"last_generation", domain.record.last_generation},
                                          {"owner", domain.record.owner}});
}

void log_order(const host_order& order, order_answer answer)
{
    log_event(answer == order_answer::accepted ? event::order_sent : event::order_failed,
              {{"order", name_of(order.kind)},
               {"host", order.host},
               {"replica", order.replica},
               {"generation", order.generation},
               {"model", order.model},
               {"answer", name_of(answer)}});
}

void log_idle_hosts(const std::string& service, std::span<const listed_host* const> free,
                    const std::string& held_models, std::size_t to_load, std::size_t loading)
{
    log_event(event::hosts_idle, {{"service", service},
                                  {"domain", free.front()->fabric_domain},
                                  {"free", free.size()},
                                  {"holding", held_models},
                                  {"loading", loading},
                                  {"to_load", to_load}});
}

std::string held_models_text(std::span<const listed_host* const> hosts)
{
    std::map<std::string, std::size_t> counts;
    for (const auto* host : hosts) {
        ++counts[host->staged.empty() ? "nothing" : host->staged.front()];
    }
    std::string text;
    for (const auto& [model, count] : counts) {
        text += (text.empty() ? "" : ",") + model + ":" + std::to_string(count);
    }
    return text;
}

} // namespace coriander
