#pragma once

#include "gateway/controller_io.hpp"
#include "gateway/controller_settings.hpp"
#include "gateway/domain_work.hpp"
#include "gateway/fleet_events.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace coriander {

/// Sends a controller's orders to hosts, and finds out whether those that don't answer are lost. Not
/// thread-safe: used on the event loop's thread only.
template <controller_io Io>
class order_sender {
public:
    /// `work` holds the state of the domains. `on_progress` is called when an answer may require new work.
    /// The references must outlive the sender.
    order_sender(Io& io, fleet_view& view, std::map<domain_key, domain_work>& work,
                 const controller_settings& settings, std::function<void()> on_progress)
        : io{io}, view{view}, work{work}, settings{settings}, on_progress{std::move(on_progress)}
    {
    }

    /// Sets the check that precedes the conclusion that a host is lost. Without it, the path is taken for
    /// granted.
    void set_path_check(const path_check& check) { this->check_path = check; }

    /// Sends the orders that are due.
    void send(std::span<const host_order> orders, domain_work& domain, time_ms now)
    {
        for (const auto& order : orders) {
            const auto* host = this->view.find_host(order.host);
            // A join requires a report of the host itself: the list may be older than another daemon's order.
            const bool may_send = order.kind != order_kind::join || domain.has_reported(order);
            if (host != nullptr && may_send && domain.orders.is_due(order, this->settings, now)) {
                domain.orders.on_sent(order, now);
                this->send_order(*host, order);
            }
        }
    }

private:
    void send_order(const listed_host& host, const host_order& order)
    {
        const domain_key key{host.service, host.fabric_domain};
        this->io.order(host, order, [this, key, order](order_answer answer) {
            auto& history = this->work[key].orders;
            const auto unanswered = history.on_answer(order, answer);
            log_order(order, answer);
            if (unanswered >= this->settings.orders_before_probe) {
                this->probe_unresponsive(key, order.host, unanswered);
            }
            if (answer == order_answer::accepted) {
                if (order.kind == order_kind::leave) {
                    const auto now = history.last_sent(order.host);
                    this->work[key].status_requests.on_left(order.host, now);
                    this->view.on_host_left(order.host, order.replica, order.generation, now);
                }
                this->on_progress();
            }
        });
    }

    /// Probes a host that did not answer orders. If it answers, it is alive and may still execute them.
    void probe_unresponsive(const domain_key& key, const std::string& id, unsigned unanswered)
    {
        const auto* host = this->view.find_host(id);
        if (host == nullptr) {
            return;
        }
        const auto order_sent_at = this->work[key].orders.last_sent(id);
        this->io.probe(
            *host, this->settings.liveness_timeout,
            [this, key, id, host = *host, order_sent_at, unanswered](std::optional<host_status> status) {
                if (!status) {
                    this->confirm_loss(host, unanswered, order_sent_at);
                }
                else if (this->work[key].status_requests.on_answer(id, order_sent_at)) {
                    this->view.update_host(id, *status, order_sent_at);
                }
                this->on_progress();
            });
    }

    void confirm_loss(const listed_host& suspect, unsigned unanswered, time_ms since)
    {
        this->check_path(suspect, [this, id = suspect.id, unanswered, since](bool has_path) {
            if (has_path) {
                log_silent_host(id, "unanswered orders", unanswered, this->view, since);
                this->view.mark_silent(id, since);
                this->on_progress();
            }
        });
    }

    Io& io;
    fleet_view& view;
    std::map<domain_key, domain_work>& work;
    const controller_settings& settings;
    std::function<void()> on_progress;
    path_check check_path = without_path_check();
};

} // namespace coriander
