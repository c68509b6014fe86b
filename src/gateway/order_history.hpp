#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/controller_settings.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Records the last order to each host, so that an order is resent only if it had no visible effect. Not
/// thread-safe.
class order_history {
public:
    /// Whether the order should be sent now.
    [[nodiscard]] bool is_due(const host_order& order, const controller_settings& settings, time_ms now) const
    {
        const auto found = this->last_orders.find(order.host);
        if (found == this->last_orders.end()) {
            return true;
        }
        const auto& last = found->second;
        return !last.is_in_flight &&
               (!last.is_same(order) || now - last.sent_at >= retry_delay(last, settings));
    }

    /// Records that the order is in flight.
    void on_sent(const host_order& order, time_ms now)
    {
        auto& last = this->last_orders[order.host];
        const auto unanswered = last.is_same(order) ? last.unanswered : 0U;
        last = {order.kind, order.generation, order.model, now, unanswered, false, true};
    }

    /// Records the answer. Returns the number of consecutive sends of this order without an answer.
    unsigned on_answer(const host_order& order, order_answer answer)
    {
        auto& last = this->last_orders[order.host];
        last.is_in_flight = false;
        last.was_unfitting = answer == order_answer::unfitting;
        last.unanswered = answer == order_answer::unanswered ? last.unanswered + 1 : 0;
        return last.unanswered;
    }

    /// When the last order to the host was sent.
    [[nodiscard]] time_ms last_sent(const std::string& host) const
    {
        const auto found = this->last_orders.find(host);
        return found == this->last_orders.end() ? time_ms{} : found->second.sent_at;
    }

private:
    struct sent_order {
        order_kind kind = order_kind::join;
        std::uint64_t generation = 0;
        std::string model;
        time_ms sent_at;
        unsigned unanswered = 0;
        bool was_unfitting = false;
        bool is_in_flight = false;

        [[nodiscard]] bool is_same(const host_order& order) const
        {
            return this->kind == order.kind && this->generation == order.generation &&
                   this->model == order.model;
        }
    };

    static time_ms retry_delay(const sent_order& last, const controller_settings& settings)
    {
        if (last.kind == order_kind::stage) {
            return settings.stage_retry_interval;
        }
        // An order that came too early or whose answer was lost is retried soon. Orders are idempotent.
        const bool retry_soon = last.was_unfitting || last.unanswered > 0;
        return retry_soon ? settings.status_interval : settings.order_retry_interval;
    }

    std::map<std::string, sent_order> last_orders;
};

} // namespace coriander
