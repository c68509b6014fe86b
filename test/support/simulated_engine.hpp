#pragma once

#include "core/json_text.hpp"
#include "coriander/host.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

namespace coriander {

/// An engine's host in a model: obeys orders, may be frozen with orders in its buffers, may crash and return.
class simulated_engine {
public:
    simulated_engine(std::string id, bool checks_fence) : id{std::move(id)}, checks_fence{checks_fence} {}

    void receive(const std::string& body)
    {
        if (this->alive) {
            this->buffer.push_back(body);
            this->work();
        }
    }

    void freeze() { this->frozen = true; }

    void thaw()
    {
        this->frozen = false;
        this->work();
    }

    void crash() { this->alive = false; }

    /// Starts anew: nothing is held and a new incarnation begins.
    void restart()
    {
        ++this->starts;
        this->alive = true;
        this->frozen = false;
        this->buffer.clear();
        this->replica.clear();
        this->generation = 0;
        this->fence = 0;
    }

    [[nodiscard]] bool is_responsive() const noexcept { return this->alive && !this->frozen; }

    [[nodiscard]] host_report report() const
    {
        return {this->id,
                std::to_string(this->starts),
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
    void work()
    {
        while (this->is_responsive() && !this->buffer.empty()) {
            const auto order = *parse_object(this->buffer.front());
            this->buffer.pop_front();
            const auto number = static_cast<std::uint64_t>(integer_member(order, "fence"));
            if (this->checks_fence && number < this->fence) {
                continue;
            }
            this->fence = std::max(this->fence, number);
            const bool loads = text_member(order, "order") == "load";
            this->replica = loads ? text_member(order, "replica") : std::string{};
            this->generation = loads ? static_cast<std::uint64_t>(integer_member(order, "generation")) : 0;
        }
    }

    bool checks_fence;
    bool alive = true;
    bool frozen = false;
    int starts = 1;
    std::uint64_t fence = 0;
    std::deque<std::string> buffer;
};

} // namespace coriander
