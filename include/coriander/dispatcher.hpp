#pragma once

#include "coriander/adaptive_limit.hpp"
#include "coriander/digest.hpp"
#include "coriander/dispatch_settings.hpp"
#include "coriander/fair_queue.hpp"
#include "coriander/load_estimate.hpp"
#include "coriander/outlier_tracker.hpp"
#include "coriander/prefix_index.hpp"
#include "coriander/replica_picker.hpp"
#include "coriander/retry_budget.hpp"
#include "coriander/route_request.hpp"
#include "coriander/route_target.hpp"
#include "coriander/strike_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Routes one service's requests: picks a target, queues the request or refuses it, and counts the requests
/// in flight on each target. The current time is passed in by the caller. Not thread-safe.
template <random_source Random>
class dispatcher {
public:
    dispatcher(dispatch_settings settings, Random random)
        : settings{settings}, random{std::move(random)}, waiting{settings.queue_per_customer}
    {
    }

    /// Sets the targets that may receive new requests. Requests in flight on other targets continue.
    void set_targets(std::span<const route_target> serving)
    {
        for (auto& [id, target] : this->targets) {
            target.is_serving = false;
        }
        std::vector<std::string> ids;
        for (const auto& listed : serving) {
            auto& target = this->target_at(listed.id);
            target.info = listed;
            target.is_serving = true;
            ids.push_back(listed.id);
        }
        std::erase_if(this->targets,
                      [](const auto& item) { return !item.second.is_serving && item.second.in_flight == 0; });
        this->outliers.retain(ids);
    }

    /// Changes the settings; the adaptive limits of known targets keep their state.
    void set_settings(const dispatch_settings& changed) { this->settings = changed; }

    /// Processes a target's load report; `requested_at` is when the report was requested.
    void on_load(const std::string& target, std::uint32_t running, std::uint32_t queued, time_ms requested_at)
    {
        const auto found = this->targets.find(target);
        if (found != this->targets.end()) {
            found->second.load.on_report(running, queued, found->second.in_flight, requested_at);
            // The target's own queue is not fair between customers, so requests should wait in this router.
            if (queued > this->settings.target_capacity / queue_tolerance_divisor) {
                found->second.limit.on_overload(requested_at);
            }
        }
    }

    /// Admits a new request: dispatches it, queues it, or refuses it immediately.
    [[nodiscard]] admission submit(const route_request& request, time_ms now)
    {
        this->retries.on_request();
        const auto verdict = this->strikes.classify(request.digest, now);
        if (verdict == strike_verdict::refused) {
            return this->refusal(refusal_reason::poisonous, poisonous_retry_after);
        }
        if (this->serving_count() == 0) {
            return this->refusal(refusal_reason::no_target, no_target_retry_after);
        }
        if (this->waiting.size() == 0 || verdict == strike_verdict::suspect) {
            if (auto assignment = this->try_assign(request, now)) {
                return {admission_verdict::dispatched, std::move(*assignment), {}, {}};
            }
        }
        const auto wait = this->predicted_wait(request);
        if (wait > this->settings.queue_limit || now + wait > request.deadline) {
            return this->refusal(refusal_reason::wait_too_long, wait);
        }
        const auto give_up_at = std::min(request.deadline, now + this->settings.queue_limit);
        if (!this->waiting.push(request.customer, request.weight, request, give_up_at)) {
            return this->refusal(refusal_reason::queue_full, wait);
        }
        return {admission_verdict::queued, {}, {}, {}};
    }

    /// Whether a request whose last attempt failed may be retried: it is not refused because of its strikes,
    /// the retry budget is not used up, and there is a serving target.
    [[nodiscard]] bool may_retry(const route_request& request, time_ms now) const
    {
        return this->strikes.classify(request.digest, now) != strike_verdict::refused &&
               this->retries.has_retry() && this->serving_count() > 0;
    }

    /// Assigns a request whose last attempt failed to another target. A retry is never queued, so that it
    /// does not wait behind new requests. Returns nothing, and leaves the retry budget as it is, if the
    /// request may not be retried or no target has room.
    [[nodiscard]] std::optional<route_assignment> retry(const route_request& request, time_ms now)
    {
        auto assignment = this->may_retry(request, now) ? this->try_assign(request, now) : std::nullopt;
        if (assignment) {
            this->retries.take_retry();
        }
        return assignment;
    }

    /// Assigns a request whose answer is already being streamed to the caller to another target. Does not use
    /// the retry budget: the new attempt continues where the last one stopped instead of starting again.
    /// Returns nothing if the request is refused because of its strikes or no target has room.
    [[nodiscard]] std::optional<route_assignment> resume(const route_request& request, time_ms now)
    {
        const bool is_refused = this->strikes.classify(request.digest, now) == strike_verdict::refused;
        return is_refused ? std::nullopt : this->try_assign(request, now);
    }

    /// How the request is treated at `now`, given its strikes.
    [[nodiscard]] strike_verdict classify(const request_digest& digest, time_ms now) const
    {
        return this->strikes.classify(digest, now);
    }

    /// Records that an attempt's first token arrived at `now`.
    void on_first_token(ticket_id ticket, time_ms now)
    {
        const auto found = this->running.find(ticket);
        if (found == this->running.end()) {
            return;
        }
        auto& target = this->target_at(found->second.target);
        const auto latency = now - found->second.started;
        const bool was_at_limit = target.in_flight + 1 >= target.limit.value();
        target.limit.on_first_token(latency, this->settings.first_token_limit, was_at_limit, now);
        this->outliers.on_success(found->second.target, latency, now);
    }

    /// Ends an attempt with its outcome. Unknown tickets are ignored.
    void finish(ticket_id ticket, attempt_outcome outcome, time_ms now)
    {
        const auto node = this->running.extract(ticket);
        if (node.empty()) {
            return;
        }
        const auto& attempt = node.mapped();
        auto& target = this->target_at(attempt.target);
        --target.in_flight;
        target.on_probation = target.on_probation && !attempt.on_probation;
        this->record_outcome(attempt, outcome, target, now);
        this->count_completion(now);
    }

    /// Removes requests from the queue in fair order and assigns them, as long as targets have room.
    [[nodiscard]] std::vector<route_assignment> take_ready(time_ms now)
    {
        std::vector<route_assignment> ready;
        std::vector<queued_item<route_request>> unassigned;
        while (this->waiting.size() > 0 && this->has_room_anywhere(now)) {
            auto next = this->waiting.pop();
            if (auto assignment = this->try_assign(next->item, now)) {
                ready.push_back(std::move(*assignment));
            }
            else {
                unassigned.push_back(std::move(*next));
            }
        }
        for (auto& item : unassigned) {
            const double weight = item.item.weight;
            (void)this->waiting.push(item.customer, weight, std::move(item.item), item.deadline);
        }
        return ready;
    }

    /// Removes the requests that reached their deadline or the queue limit, and returns their tickets.
    [[nodiscard]] std::vector<ticket_id> take_expired(time_ms now)
    {
        std::vector<ticket_id> expired;
        for (const auto& item : this->waiting.take_expired(now)) {
            expired.push_back(item.item.ticket);
        }
        return expired;
    }

    /// Requests that were running when a target died, as seen by this router and reported by others.
    [[nodiscard]] strike_table& strike_reports() noexcept { return this->strikes; }

    /// Which prompt prefixes targets have cached.
    [[nodiscard]] prefix_index& prefixes() noexcept { return this->cache; }

    [[nodiscard]] std::size_t waiting_count() const noexcept { return this->waiting.size(); }
    [[nodiscard]] std::size_t running_count() const noexcept { return this->running.size(); }

    /// Number of this router's requests in flight on a target.
    [[nodiscard]] std::uint32_t in_flight(const std::string& target) const
    {
        const auto found = this->targets.find(target);
        return found == this->targets.end() ? 0 : found->second.in_flight;
    }

    /// Whether the target is ejected at `now`.
    [[nodiscard]] bool is_ejected(const std::string& target, time_ms now) const
    {
        return this->outliers.is_ejected(target, now);
    }

private:
    static constexpr time_ms poisonous_retry_after = 600_s;
    static constexpr time_ms no_target_retry_after = 2_s;

    /// A target counts as overloaded when its own queue is longer than its capacity divided by this.
    static constexpr std::uint32_t queue_tolerance_divisor = 16;

    struct target_state {
        explicit target_state(std::uint32_t capacity)
            : limit{adaptive_limit_settings{1, capacity, 0.8, 500_ms}}
        {
        }
        route_target info;
        bool is_serving = false;
        std::uint32_t in_flight = 0;
        load_estimate load;
        adaptive_limit limit;
        bool on_probation = false; ///< A suspect request runs here alone.
    };
    struct running_attempt {
        std::string target;
        request_digest digest;
        time_ms started;
        bool on_probation = false;
    };

    target_state& target_at(const std::string& id)
    {
        return this->targets.try_emplace(id, this->settings.target_capacity).first->second;
    }

    static admission refusal(refusal_reason reason, time_ms retry_after)
    {
        return {admission_verdict::refused, {}, reason, retry_after};
    }

    [[nodiscard]] std::size_t serving_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->targets.begin(), this->targets.end(),
                          [](const auto& item) { return item.second.is_serving; }));
    }

    [[nodiscard]] route_candidate candidate_of(const std::string& id, const target_state& target,
                                               time_ms now) const
    {
        route_candidate candidate;
        candidate.id = id;
        candidate.own_in_flight = target.in_flight;
        candidate.concurrency_limit = target.limit.value();
        candidate.capacity = this->settings.target_capacity;
        candidate.others_in_flight = target.load.others();
        candidate.relative_latency = this->outliers.relative_latency(id);
        candidate.suspended = !target.is_serving || target.on_probation || this->outliers.is_ejected(id, now);
        return candidate;
    }

    [[nodiscard]] std::vector<route_candidate> candidates_at(time_ms now) const
    {
        std::vector<route_candidate> list;
        for (const auto& [id, target] : this->targets) {
            list.push_back(this->candidate_of(id, target, now));
        }
        return list;
    }

    [[nodiscard]] bool has_room_anywhere(time_ms now) const
    {
        return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& item) {
            return has_room(this->candidate_of(item.first, item.second, now));
        });
    }

    /// A target whose cache events say that it holds the prefix; without one, the target that the hash of the
    /// prefix selects, which is the same at every router.
    [[nodiscard]] std::optional<std::size_t>
    preferred_target(const route_request& request, std::span<const route_candidate> candidates) const
    {
        if (request.prefix.empty() || candidates.empty()) {
            return std::nullopt;
        }
        std::size_t best = 0;
        std::uint64_t best_rank = 0;
        bool best_holds = false;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const bool holds = this->cache.holds(candidates[i].id, request.prefix);
            const auto rank = stable_hash(request.prefix, stable_hash(candidates[i].id));
            if (std::make_pair(holds, rank) >= std::make_pair(best_holds, best_rank)) {
                best = i;
                best_rank = rank;
                best_holds = holds;
            }
        }
        return best;
    }

    [[nodiscard]] std::optional<route_assignment> try_assign(const route_request& request, time_ms now)
    {
        const bool is_suspect = this->strikes.classify(request.digest, now) == strike_verdict::suspect;
        auto candidates = this->candidates_at(now);
        for (auto& candidate : candidates) {
            const bool was_tried =
                std::find(request.tried.begin(), request.tried.end(), candidate.id) != request.tried.end();
            // A suspect request needs a target on which nothing else runs.
            const bool is_busy = candidate.own_in_flight > 0 || this->target_at(candidate.id).load.was_busy();
            candidate.suspended = candidate.suspended || was_tried || (is_suspect && is_busy);
        }
        const auto choice = pick_replica(std::span<const route_candidate>{candidates}, this->random,
                                         this->preferred_target(request, candidates));
        if (!choice) {
            return std::nullopt;
        }
        return this->start(request, candidates[choice->index].id, *choice, is_suspect, now);
    }

    route_assignment start(const route_request& request, const std::string& id, const route_choice& choice,
                           bool on_probation, time_ms now)
    {
        auto& target = this->target_at(id);
        ++target.in_flight;
        target.on_probation = target.on_probation || on_probation;
        this->running[request.ticket] = {id, request.digest, now, on_probation};
        return {request.ticket, id,           target.info.address, target.info.generation,
                choice.reason,  choice.score, on_probation};
    }

    void record_outcome(const running_attempt& attempt, attempt_outcome outcome, target_state& target,
                        time_ms now)
    {
        switch (outcome) {
        case attempt_outcome::succeeded:
            this->strikes.on_success(attempt.digest, now);
            break;
        case attempt_outcome::overloaded:
            target.limit.on_overload(now);
            break;
        case attempt_outcome::failed:
            this->outliers.on_failure(attempt.target, now);
            break;
        case attempt_outcome::target_died:
            this->outliers.on_failure(attempt.target, now);
            this->strikes.on_target_death({attempt.digest}, attempt.on_probation, now);
            break;
        case attempt_outcome::abandoned:
            break;
        }
    }

    /// Updates the mean time between completions. Only gaps while requests are queued count, since idle time
    /// says nothing about the rate.
    void count_completion(time_ms now)
    {
        constexpr double gain = 0.1;
        if (this->waiting.size() == 0) {
            this->has_completed = false;
            return;
        }
        if (this->has_completed) {
            const double gap = std::max(0.001, (now - this->last_completion).seconds());
            this->mean_completion_gap_s += gain * (gap - this->mean_completion_gap_s);
        }
        this->has_completed = true;
        this->last_completion = now;
    }

    /// Predicts how long the request would be queued, from its customer's share of the queue and the
    /// completion rate.
    [[nodiscard]] time_ms predicted_wait(const route_request& request) const
    {
        constexpr double ms_per_second = 1000.0;
        const double ahead = static_cast<double>(this->waiting.size()) + 1.0;
        const double own = static_cast<double>(this->waiting.size_of(request.customer)) + 1.0;
        // With fair queueing, a customer with few queued requests does not wait for all requests of another.
        const double turns =
            std::min(ahead, own * this->waiting.weight_share(request.customer, request.weight));
        const double wait_ms = turns * this->mean_completion_gap_s * ms_per_second;
        return time_ms{static_cast<std::int64_t>(std::ceil(wait_ms))};
    }

    dispatch_settings settings;
    Random random;
    std::map<std::string, target_state> targets;
    std::map<ticket_id, running_attempt> running;
    fair_queue<route_request> waiting;
    outlier_tracker outliers;
    strike_table strikes;
    retry_budget retries;
    prefix_index cache;
    double mean_completion_gap_s = 0.01;
    time_ms last_completion;
    bool has_completed = false;
};

} // namespace coriander
