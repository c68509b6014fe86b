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

/// A request as a modelled replica works on it.
struct batch_request {
    std::size_t id = 0;
    double unread_tokens = 0.0; ///< Of its prompt.
    unsigned events_left = 0;
};

/// A replica of an engine that works in passes: each reads prompts up to a bound and writes one event for
/// each request that is read. The more it runs and reads, the longer a pass takes.
class simulated_batch_replica {
public:
    explicit simulated_batch_replica(const engine_profile& engine) : engine{engine} {}

    void submit(const batch_request& request) { this->waiting.push_back(request); }
    void cancel(std::size_t id)
    {
        const auto is_it = [id](const batch_request& one) { return one.id == id; };
        std::erase_if(this->waiting, is_it);
        std::erase_if(this->running, is_it);
    }

    [[nodiscard]] std::uint32_t running_count() const
    {
        return static_cast<std::uint32_t>(this->running.size());
    }
    [[nodiscard]] std::uint32_t waiting_count() const
    {
        return static_cast<std::uint32_t>(this->waiting.size());
    }

    /// Works up to `now`; `written` is called with the id of each request that wrote an event, and whether it
    /// was its last.
    void work_until(time_ms now, const std::function<void(std::size_t, bool)>& written)
    {
        while (this->pass_ends <= now) {
            this->end_pass(written);
            this->begin_pass(now);
        }
    }

private:
    /// Prompt tokens that an engine reads beside one step.
    static constexpr double tokens_per_step = 2048.0;
    static constexpr double idle_pass_ms = 5.0;

    void end_pass(const std::function<void(std::size_t, bool)>& written)
    {
        std::vector<std::size_t> done;
        for (auto& one : this->running) {
            if (one.unread_tokens <= 0.0) {
                const bool is_last = --one.events_left == 0;
                written(one.id, is_last);
                if (is_last) {
                    done.push_back(one.id);
                }
            }
        }
        for (const auto id : done) {
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
        double read = 0.0;
        for (auto& one : this->running) {
            const double part = std::min(budget, std::max(0.0, one.unread_tokens));
            one.unread_tokens -= part;
            budget -= part;
            read += part;
        }
        const double step = this->engine.step_ms +
                            this->engine.step_ms_per_request * static_cast<double>(this->running.size());
        const double pass = this->running.empty() ? idle_pass_ms
                                                  : this->engine.steps_per_event * step +
                                                        1000.0 * read / this->engine.prompt_tokens_per_s;
        this->pass_ends = std::max(this->pass_ends, now) + time_ms{static_cast<std::int64_t>(pass)};
    }

    engine_profile engine;
    std::deque<batch_request> waiting;
    std::vector<batch_request> running;
    time_ms pass_ends;
};

} // namespace coriander
