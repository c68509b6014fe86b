#pragma once

#include "coriander/relay/emptied_domains.hpp"
#include "gateway/relay_context.hpp"

#include <asio/steady_timer.hpp>

#include <functional>
#include <span>

// Failure domains that operators empty and take back, as one gateway applies them: it may change the
// context's state of domains and withdraw requests that wait for a target there.
namespace coriander {

/// Applies what the store and peers say of emptied failure domains. Must be used on the event loop's thread
/// only.
class emptied_domain_watch {
public:
    /// `context` must outlive the watch. `on_change` is called after the state of a domain has changed.
    emptied_domain_watch(relay_context& context, std::function<void()> on_change);

    /// Applies one report. `source`, `store` or `peer`, is logged.
    void apply(const emptied_domain_report& report, const char* source);
    /// Applies the reports of another daemon.
    void merge(std::span<const emptied_domain_report> reports);

    /// Sets the gauge of the domains' shares.
    void update_metrics();

private:
    /// Withdraws requests that wait for a connection into a domain that has just become empty.
    void schedule_withdrawal();

    relay_context& context;
    std::function<void()> on_change;
    asio::steady_timer timer;
};

} // namespace coriander
