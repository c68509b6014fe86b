#pragma once

#include "gateway/gateway_settings.hpp"
#include "net/caller_budget.hpp"
#include "runtime/metrics.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>

// What callers' connections may hold and how many there may be: decided by budgets, carried out by the
// connections themselves.
namespace coriander {

/// The budgets of a gateway's listeners, one for callers and one for all other pages, so that a crowd on one
/// takes nothing from the other. Must be used on the event loop's thread only.
class caller_room {
public:
    /// `counters` must outlive the room.
    caller_room(asio::io_context& loop, const caller_bounds& bounds, metrics& counters);

    [[nodiscard]] const std::shared_ptr<caller_budget>& callers() const noexcept { return this->of_callers; }
    [[nodiscard]] const std::shared_ptr<caller_budget>& pages() const noexcept { return this->of_pages; }

    /// Sets the gauges, and logs how many connections have been ended since the last call.
    void report();

private:
    void schedule_relief();
    void report(const char* listener, caller_budget& budget, std::uint64_t& reported);

    // Connections may outlive the room.
    std::shared_ptr<caller_budget> of_callers;
    std::shared_ptr<caller_budget> of_pages;
    metrics& counters;
    asio::steady_timer timer;
    bool is_relief_scheduled = false;
    std::uint64_t reported_of_callers = 0;
    std::uint64_t reported_of_pages = 0;
};

} // namespace coriander
