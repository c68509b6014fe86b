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

/// A waiting item with its deadline.
template <typename Item>
struct queued_item {
    Item item;
    time_ms deadline;
    std::string customer;
};

/// Weighted fair queueing over customers (start-time fair queueing): while several customers wait, each gets
/// service in proportion to its weight, however many requests it sends. Bounded per customer. Not
/// thread-safe.
template <typename Item>
class fair_queue {
public:
    explicit fair_queue(std::size_t bound_per_customer) : bound{bound_per_customer} {}

    /// Adds an item; false when the customer's part of the queue is full. Precondition: `weight` > 0.
    [[nodiscard]] bool push(const std::string& customer, double weight, Item item, time_ms deadline)
    {
        auto& flow = this->flows[customer];
        if (flow.waiting.size() >= this->bound) {
            return false;
        }
        const double start = std::max(this->virtual_time, flow.last_finish);
        flow.weight = weight;
        flow.last_finish = start + 1.0 / weight;
        flow.waiting.push_back({start, {std::move(item), deadline, customer}});
        ++this->count;
        return true;
    }

    /// Takes the item whose turn it is. Nothing when the queue is empty.
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
        this->forget_idle_flows();
        return std::move(entry.item);
    }

    /// Removes and returns all items whose deadline has passed.
    [[nodiscard]] std::vector<queued_item<Item>> take_expired(time_ms now)
    {
        std::vector<queued_item<Item>> expired;
        for (auto& [customer, flow] : this->flows) {
            std::deque<entry> kept;
            for (auto& waiting : flow.waiting) {
                if (waiting.item.deadline <= now) {
                    expired.push_back(std::move(waiting.item));
                }
                else {
                    kept.push_back(std::move(waiting));
                }
            }
            flow.waiting = std::move(kept);
        }
        this->count -= expired.size();
        return expired;
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

    /// How many items of one customer wait.
    [[nodiscard]] std::size_t size_of(const std::string& customer) const
    {
        const auto found = this->flows.find(customer);
        return found == this->flows.end() ? 0 : found->second.waiting.size();
    }

    /// The weight of all customers that wait, with this one, relative to this one's: how many turns pass for
    /// each of its own. Precondition: `weight` > 0.
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

    /// An idle flow whose turn has passed carries no information any more.
    void forget_idle_flows()
    {
        std::erase_if(this->flows, [this](const auto& item) {
            return item.second.waiting.empty() && item.second.last_finish <= this->virtual_time;
        });
    }

    std::size_t bound;
    std::map<std::string, flow_state> flows;
    double virtual_time = 0.0;
    std::size_t count = 0;
};

} // namespace coriander
