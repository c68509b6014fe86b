#pragma once

#include "coriander/replicas/domain_planner.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/controller_settings.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace coriander {

/// Remembers the last order to each host, so that an order is repeated only when its effect doesn't show. Not
/// thread-safe.
class order_history {
public:
    /// Whether the order should be sent now.
    [[nodiscard]] bool is_due(const host_order& order, const controller_settings& settings, time_ms now) const
    {
        const auto found = this->sent.find(order.host);
        if (found == this->sent.end()) {
            return true;
        }
        const auto& last = found->second;
        return !last.is_in_flight && (!last.is_same(order) || now - last.at >= pause_after(last, settings));
    }

    /// Notes that the order is being sent.
    void on_sent(const host_order& order, time_ms now)
    {
        auto& last = this->sent[order.host];
        const auto unanswered = last.is_same(order) ? last.unanswered : 0U;
        last = {order.kind, order.generation, order.model, now, unanswered, false, true};
    }

    /// Notes the answer. Returns how many such orders in a row the host has not answered.
    unsigned on_answer(const host_order& order, order_answer answer)
    {
        auto& last = this->sent[order.host];
        last.is_in_flight = false;
        last.was_unfitting = answer == order_answer::unfitting;
        last.unanswered = answer == order_answer::unanswered ? last.unanswered + 1 : 0;
        return last.unanswered;
    }

    /// When the last order to the host was sent.
    [[nodiscard]] time_ms last_sent(const std::string& host) const
    {
        const auto found = this->sent.find(host);
        return found == this->sent.end() ? time_ms{} : found->second.at;
    }

private:
    struct sent_order {
        order_kind kind = order_kind::join;
        std::uint64_t generation = 0;
        std::string model;
        time_ms at;
        unsigned unanswered = 0;
        bool was_unfitting = false;
        bool is_in_flight = false;

        [[nodiscard]] bool is_same(const host_order& order) const
        {
            return this->kind == order.kind && this->generation == order.generation &&
                   this->model == order.model;
        }
    };

    static time_ms pause_after(const sent_order& last, const controller_settings& settings)
    {
        if (last.kind == order_kind::stage) {
            return settings.stage_repeat;
        }
        // An order that came too early, or whose answer is lost, is tried again at once: it takes effect
        // once.
        const bool is_open = last.was_unfitting || last.unanswered > 0;
        return is_open ? settings.ask_interval : settings.order_repeat;
    }

    std::map<std::string, sent_order> sent;
};

} // namespace coriander
