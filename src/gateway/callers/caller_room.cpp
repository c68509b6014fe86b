#include "gateway/callers/caller_room.hpp"

#include "coriander/clock.hpp"
#include "runtime/log.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace coriander {
namespace {

constexpr std::chrono::milliseconds relief_interval{100};

} // namespace

caller_room::caller_room(asio::io_context& loop, const caller_bounds& bounds, metrics& counters)
    : of_callers{std::make_shared<caller_budget>(bounds.callers)},
      of_pages{std::make_shared<caller_budget>(bounds.pages)}, counters{counters}, timer{loop}
{
    for (const auto& budget : {this->of_callers, this->of_pages}) {
        budget->on_relief_needed([this] { this->schedule_relief(); });
    }
}

void caller_room::schedule_relief()
{
    if (std::exchange(this->is_relief_scheduled, true)) {
        return;
    }
    this->timer.expires_after(relief_interval);
    this->timer.async_wait([this](const asio::error_code& cancelled) {
        if (cancelled) {
            return;
        }
        this->is_relief_scheduled = false;
        for (const auto& budget : {this->of_callers, this->of_pages}) {
            budget->relieve(monotonic_clock{}.now());
            if (budget->needs_relief()) {
                this->schedule_relief();
            }
        }
    });
}

void caller_room::report()
{
    this->report("callers", *this->of_callers, this->reported_of_callers);
    this->report("pages", *this->of_pages, this->reported_of_pages);
}

void caller_room::report(const char* listener, caller_budget& budget, std::uint64_t& reported)
{
    const auto labels = "listener=\"" + std::string{listener} + "\"";
    this->counters.set("coriander_connections", labels, static_cast<double>(budget.connections()));
    this->counters.set("coriander_connection_bytes", labels, static_cast<double>(budget.used_bytes()));
    const auto ended = budget.ended_count();
    const auto newly_ended = ended - std::exchange(reported, ended);
    if (newly_ended > 0) {
        this->counters.add("coriander_connections_ended_total", labels, static_cast<double>(newly_ended));
        log_event(event::connections_ended, {{"listener", listener},
                                             {"count", newly_ended},
                                             {"open", budget.connections()},
                                             {"waiting", budget.waiting_connections()},
                                             {"held_bytes", budget.used_bytes()}});
    }
}

} // namespace coriander
