#pragma once

#include "core/json_text.hpp"
#include "coriander/host.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

namespace coriander {

/// Simulates an engine host, which executes orders. It can be frozen while orders are buffered, crash and
/// restart.
class simulated_engine {
public:
    simulated_engine(std::string id, bool checks_fence) : id{std::move(id)}, checks_fence{checks_fence} {}

    void receive(const std::string& body)
    {
        if (this->alive) {
            this->buffered_orders.push_back(body);
            this->execute_orders();
        }
    }

    void freeze() { this->frozen = true; }

    void thaw()
    {
        this->frozen = false;
        this->execute_orders();
    }

    void crash() { this->alive = false; }

    /// Starts a new incarnation without any replica or buffered orders.
    void restart()
    {
        ++this->incarnation;
        this->alive = true;
        this->frozen = false;
        this->buffered_orders.clear();
        this->replica.clear();
        this->generation = 0;
        this->fence = 0;
    }

    [[nodiscard]] bool is_responsive() const noexcept { return this->alive && !this->frozen; }

    [[nodiscard]] host_report report() const
    {
        return {this->id,
                std::to_string(this->incarnation),
                this->replica,
                this->generation,
                this->fence,
                !this->replica.empty(),
                0,
                0};
    }

    std::string id;
    std::string replica;
    std::uint64_t generation = 0;

private:
    void execute_orders()
    {
        while (this->is_responsive() && !this->buffered_orders.empty()) {
            const auto order = *parse_object(this->buffered_orders.front());
            this->buffered_orders.pop_front();
            const auto order_fence = static_cast<std::uint64_t>(integer_member(order, "fence"));
            if (this->checks_fence && order_fence < this->fence) {
                continue;
            }
            this->fence = std::max(this->fence, order_fence);
            const bool is_load = text_member(order, "order") == "load";
            this->replica = is_load ? text_member(order, "replica") : std::string{};
            this->generation = is_load ? static_cast<std::uint64_t>(integer_member(order, "generation")) : 0;
        }
    }

    bool checks_fence;
    bool alive = true;
    bool frozen = false;
    int incarnation = 1;
    std::uint64_t fence = 0;
    std::deque<std::string> buffered_orders;
};

} // namespace coriander
