#pragma once

#include "coriander/relay/relay_manifest.hpp"
#include "coriander/time_ms.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace coriander {

/// The state of a request on a simulated replica.
struct batch_request {
    std::size_t id = 0;
    double prompt_tokens_left = 0.0; ///< Prompt tokens that are not processed yet.
    unsigned events_left = 0;
};

/// Simulates a replica with batched execution. Each pass processes prompts up to a token limit and emits one
/// event for each request whose prompt is processed. A pass takes longer with more requests and more prompt
/// tokens.
class simulated_batch_replica {
public:
    explicit simulated_batch_replica(const engine_profile& engine) : engine{engine} {}

    void submit(const batch_request& request) { this->waiting.push_back(request); }
    void cancel(std::size_t id)
    {
        const auto has_id = [id](const batch_request& request) { return request.id == id; };
        std::erase_if(this->waiting, has_id);
        std::erase_if(this->running, has_id);
    }

    [[nodiscard]] std::uint32_t running_count() const
    {
        return static_cast<std::uint32_t>(this->running.size());
    }
    [[nodiscard]] std::uint32_t waiting_count() const
    {
        return static_cast<std::uint32_t>(this->waiting.size());
    }

    /// Runs all passes that end up to `now`. Calls `on_event` for each event, with the id of its request and
    /// whether it is the last one.
    void run_until(time_ms now, const std::function<void(std::size_t, bool)>& on_event)
    {
        while (this->pass_end <= now) {
            this->end_pass(on_event);
            this->begin_pass(now);
        }
    }

private:
    /// Prompt tokens that an engine processes alongside one step.
    static constexpr double tokens_per_step = 2048.0;
    static constexpr double idle_pass_ms = 5.0;

    void end_pass(const std::function<void(std::size_t, bool)>& on_event)
    {
        std::vector<std::size_t> finished;
        for (auto& request : this->running) {
            if (request.prompt_tokens_left <= 0.0) {
                const bool is_last = --request.events_left == 0;
                on_event(request.id, is_last);
                if (is_last) {
                    finished.push_back(request.id);
                }
            }
        }
        for (const auto id : finished) {
            this->cancel(id);
        }
    }

    void begin_pass(time_ms now)
    {
        while (!this->waiting.empty() && this->running.size() < this->engine.slots) {
            this->running.push_back(this->waiting.front());
            this->waiting.pop_front();
        }
        double budget = tokens_per_step * this->engine.steps_per_event;
        double processed = 0.0;
        for (auto& request : this->running) {
            const double tokens = std::min(budget, std::max(0.0, request.prompt_tokens_left));
            request.prompt_tokens_left -= tokens;
            budget -= tokens;
            processed += tokens;
        }
        const double step_duration = this->engine.step_ms + this->engine.step_ms_per_request *
                                                                static_cast<double>(this->running.size());
        const double pass_duration = this->running.empty()
                                         ? idle_pass_ms
                                         : this->engine.steps_per_event * step_duration +
                                               1000.0 * processed / this->engine.prompt_tokens_per_s;
        this->pass_end = std::max(this->pass_end, now) + time_ms{static_cast<std::int64_t>(pass_duration)};
    }

    engine_profile engine;
    std::deque<batch_request> waiting;
    std::vector<batch_request> running;
    time_ms pass_end;
};

} // namespace coriander
