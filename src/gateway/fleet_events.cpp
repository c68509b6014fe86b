#include "gateway/fleet_events.hpp"

#include "runtime/log.hpp"

#include <map>

namespace coriander {

void log_placement(const domain_key& key, const std::string& reason, std::uint64_t row_version,
                   const fleet_view& view)
{
    log_event(event::placement_decided, {{"domain", key.row_key()},
                                         {"decision", reason},
                                         {"row_version", row_version},
                                         {"hosts", view.hosts_of(key).size()},
                                         {"silent", view.silent().size()}});
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
                    const std::string& held, std::size_t to_load, std::size_t loading)
{
    log_event(event::hosts_idle, {{"service", service},
                                  {"domain", free.front()->fabric_domain},
                                  {"free", free.size()},
                                  {"holding", held},
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
