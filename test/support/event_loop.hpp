#pragma once

#include <asio/io_context.hpp>

#include <chrono>

namespace coriander {

/// An event loop that a test drives.
class event_loop {
public:
    [[nodiscard]] asio::io_context& context() noexcept { return this->loop; }

    /// Runs until the condition holds. Returns false after a timeout of 20 s, which only a fault can exceed.
    template <typename Condition>
    bool run_until(Condition is_met)
    {
        constexpr std::chrono::seconds timeout{20};
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!is_met()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            this->loop.restart();
            this->loop.run_one_for(std::chrono::milliseconds{20});
        }
        return true;
    }

    /// Runs the handlers that are ready, without waiting.
    void run_ready()
    {
        this->loop.restart();
        this->loop.poll();
    }

private:
    asio::io_context loop{1};
};

} // namespace coriander
