#include "gateway/domains/emptied_domain_watch.hpp"

#include "gateway/statement_intake.hpp"
#include "runtime/log.hpp"

#include <chrono>
#include <utility>

namespace coriander {

emptied_domain_watch::emptied_domain_watch(relay_context& context, std::function<void()> on_change)
    : context{context}, on_change{std::move(on_change)}, timer{context.loop}
{
}

void emptied_domain_watch::apply(const emptied_domain_report& report, const char* source)
{
    const auto now = this->context.clock.now();
    if (!this->context.emptied.on_report(report, now)) {
        return;
    }
    log_event(event::domain_emptied, {{"domain", report.domain},
                                      {"state", report.is_emptied ? "emptied" : "returns"},
                                      {"age", report.age},
                                      {"share", this->context.emptied.share(report.domain, now)},
                                      {"version", report.version.number},
                                      {"source", source}});
    this->update_metrics();
    this->schedule_withdrawal();
    this->on_change();
}

void emptied_domain_watch::merge(std::span<const emptied_domain_report> reports)
{
    for (const auto& one : reports) {
        this->apply(one, "peer");
    }
}

void emptied_domain_watch::update_metrics()
{
    for (const auto& [domain, share] : this->context.emptied.shares(this->context.clock.now())) {
        this->context.counters.set("coriander_domain_share", "domain=\"" + domain + "\"", share);
    }
}

void emptied_domain_watch::schedule_withdrawal()
{
    // Each domain is empty at the latest when the one that changed last would be.
    constexpr time_ms margin = 10_ms;
    const auto wait = emptied_domains::emptying_time + margin;
    withdraw_forbidden(this->context);
    this->timer.expires_after(std::chrono::milliseconds{wait.count()});
    this->timer.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) {
            withdraw_forbidden(this->context);
        }
    });
}

} // namespace coriander
