#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// A queued item with its deadline and customer.
template <typename Item>
struct queued_item {
    Item item;
    time_ms deadline;
    std::string customer;
};

/// Weighted fair queueing over customers (start-time fair queueing): while several customers have queued
/// items, each is served in proportion to its weight, however many items it adds. Bounded per customer. Not
/// thread-safe.
template <typename Item>
class fair_queue {
public:
    explicit fair_queue(std::size_t max_per_customer) : limit_per_customer{max_per_customer} {}

    /// Adds an item. Returns false if the customer already has the maximum number of queued items.
    /// Precondition: `weight` > 0.
    [[nodiscard]] bool push(const std::string& customer, double weight, Item item, time_ms deadline)
    {
        auto& flow = this->flows[customer];
        if (flow.waiting.size() >= this->limit_per_customer) {
            return false;
        }
        const double start = std::max(this->virtual_time, flow.last_finish);
        flow.weight = weight;
        flow.last_finish = start + 1.0 / weight;
        flow.waiting.push_back({start, {std::move(item), deadline, customer}});
        ++this->count;
        return true;
    }

    /// Removes and returns the next item; nothing if the queue is empty.
    [[nodiscard]] std::optional<queued_item<Item>> pop()
    {
        auto* next = this->next_flow();
        if (next == nullptr) {
            return std::nullopt;
        }
        auto entry = std::move(next->waiting.front());
        next->waiting.pop_front();
        --this->count;
        this->virtual_time = entry.start;
        this->erase_idle_flows();
        return std::move(entry.item);
    }

    /// Removes and returns all items whose deadline is at or before `now`.
    [[nodiscard]] std::vector<queued_item<Item>> take_expired(time_ms now)
    {
        std::vector<queued_item<Item>> expired;
        for (auto& [customer, flow] : this->flows) {
            std::deque<entry> remaining;
            for (auto& waiting : flow.waiting) {
                if (waiting.item.deadline <= now) {
                    expired.push_back(std::move(waiting.item));
                }
                else {
                    remaining.push_back(std::move(waiting));
                }
            }
            flow.waiting = std::move(remaining);
        }
        this->count -= expired.size();
        return expired;
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

    /// Number of queued items of one customer.
    [[nodiscard]] std::size_t size_of(const std::string& customer) const
    {
        const auto found = this->flows.find(customer);
        return found == this->flows.end() ? 0 : found->second.waiting.size();
    }

    /// Total weight of this customer and all others with queued items, divided by this customer's `weight`:
    /// the number of items served, over all customers, for each one of this customer. Precondition: `weight`
    /// > 0.
    [[nodiscard]] double weight_share(const std::string& customer, double weight) const
    {
        double total = weight;
        for (const auto& [name, flow] : this->flows) {
            if (name != customer && !flow.waiting.empty()) {
                total += flow.weight;
            }
        }
        return total / weight;
    }

private:
    struct entry {
        double start;
        queued_item<Item> item;
    };
    struct flow_state {
        std::deque<entry> waiting;
        double last_finish = 0.0;
        double weight = 1.0;
    };

    flow_state* next_flow()
    {
        flow_state* best = nullptr;
        for (auto& [customer, flow] : this->flows) {
            if (!flow.waiting.empty() &&
                (best == nullptr || flow.waiting.front().start < best->waiting.front().start)) {
                best = &flow;
            }
        }
        return best;
    }

    /// Erases flows without queued items whose last finish time is not after the virtual time: a new flow
    /// would start at the same point.
    void erase_idle_flows()
    {
        std::erase_if(this->flows, [this](const auto& item) {
            return item.second.waiting.empty() && item.second.last_finish <= this->virtual_time;
        });
    }

    std::size_t limit_per_customer;
    std::map<std::string, flow_state> flows;
    double virtual_time = 0.0;
    std::size_t count = 0;
};

} // namespace coriander
