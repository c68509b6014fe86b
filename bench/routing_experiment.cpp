// Compares the dispatcher with round robin, random choice and the fewest requests in flight from the same
// router, on simulated targets and time. Prints a table; results are reproducible by seed.

#include "coriander/dispatcher.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>

DEFINE_uint64(seed, 1, "seed of arrivals and routing choices");
DEFINE_int32(routers, 8, "number of entry hosts");
DEFINE_int32(targets, 24, "replicas");
DEFINE_double(seconds, 60, "simulated time in seconds");

namespace coriander {
namespace {

constexpr int capacity = 16;
constexpr int engine_queue = 64;
constexpr std::int64_t first_token_ms = 60;
constexpr double mean_service_ms = 800.0;
constexpr time_ms report_interval = 500_ms;
constexpr time_ms deadline = 2_s; ///< A later first token is of no use to the caller.
constexpr double small_share = 0.1;

enum class policy { coriander, round_robin, random_choice, least_in_flight };

struct scenario {
    const char* name;
    double load;             ///< Demand relative to the total capacity of the targets.
    double straggler = 1.0;  ///< Service time factor of target 0.
    bool fails_fast = false; ///< Target 0 fails every request immediately.
    time_ms report_lag;
};

struct model_request {
    ticket_id ticket = 0;
    int router = 0;
    int target = 0;
    bool is_small = false; ///< Sent by the small customer.
    time_ms arrived;
    std::int64_t service_ms = 0;
    int attempts = 0;
    std::vector<std::string> tried;
};

struct model_target {
    std::deque<model_request> waiting;
    int running = 0;
    double slow_factor = 1.0;
    bool fails_fast = false;
    std::deque<std::pair<time_ms, std::pair<int, int>>>
        load_history; ///< Running and queued requests by time.
};

enum class event_kind { arrival, first_token, end, report, expiry_check };

struct model_event {
    time_ms at;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::arrival;
    model_request request;
    bool operator>(const model_event& other) const
    {
        return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
    }
};

struct run_statistics {
    std::vector<double> first_token;
    int sent[2] = {0, 0};
    int within_deadline[2] = {0, 0};
    int failed = 0;

    [[nodiscard]] double quantile(double share)
    {
        if (this->first_token.empty()) {
            return 0.0;
        }
        const auto index =
            static_cast<std::ptrdiff_t>(share * static_cast<double>(this->first_token.size() - 1));
        std::nth_element(this->first_token.begin(), this->first_token.begin() + index,
                         this->first_token.end());
        return this->first_token[static_cast<std::size_t>(index)];
    }
};

/// Simulates one policy in one scenario.
class experiment {
public:
    experiment(policy selected_policy, const scenario& setting)
        : selected_policy{selected_policy}, setting{setting}, random{FLAGS_seed}
    {
        this->targets.resize(static_cast<std::size_t>(FLAGS_targets));
        this->targets[0].slow_factor = setting.straggler;
        this->targets[0].fails_fast = setting.fails_fast;
        std::vector<route_target> list;
        list.reserve(this->targets.size());
        for (int i = 0; i < FLAGS_targets; ++i) {
            list.push_back({std::to_string(i), "", 1});
        }
        dispatch_settings settings;
        settings.target_capacity = capacity;
        settings.first_token_limit = 500_ms;
        for (int i = 0; i < FLAGS_routers; ++i) {
            this->dispatchers.push_back(std::make_unique<dispatcher<std::mt19937_64>>(
                settings, std::mt19937_64{FLAGS_seed + 100 + i}));
            this->dispatchers.back()->set_targets(list);
            this->in_flight.emplace_back(FLAGS_targets, 0);
        }
    }

    run_statistics run()
    {
        this->push({time_ms{}, 0, event_kind::report, {}});
        this->push({time_ms{}, 0, event_kind::expiry_check, {}});
        this->next_arrival();
        while (!this->events.empty()) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (this->now.seconds() > FLAGS_seconds + 10.0) {
                break;
            }
            this->handle(event);
        }
        return std::move(this->result);
    }

private:
    void push(model_event event)
    {
        event.sequence = ++this->last_sequence;
        this->events.push(std::move(event));
    }

    void next_arrival()
    {
        const double arrivals_per_ms = this->setting.load * FLAGS_targets * capacity / mean_service_ms;
        this->next_arrival_ms += std::exponential_distribution<double>{arrivals_per_ms}(this->random);
        if (this->next_arrival_ms > FLAGS_seconds * 1000.0) {
            return;
        }
        model_request request;
        request.ticket = ++this->last_ticket;
        request.router = static_cast<int>(this->random() % static_cast<std::uint64_t>(FLAGS_routers));
        request.is_small = std::bernoulli_distribution{small_share}(this->random);
        request.arrived = time_ms{static_cast<std::int64_t>(this->next_arrival_ms)};
        request.service_ms = first_token_ms + static_cast<std::int64_t>(std::exponential_distribution<double>{
                                                  1.0 / (mean_service_ms - first_token_ms)}(this->random));
        this->push({request.arrived, 0, event_kind::arrival, request});
    }

    void handle(const model_event& event)
    {
        switch (event.kind) {
        case event_kind::arrival:
            ++this->result.sent[event.request.is_small ? 1 : 0];
            this->route(event.request);
            this->next_arrival();
            break;
        case event_kind::first_token:
            this->on_first_token(event.request);
            break;
        case event_kind::end:
            this->on_end(event.request);
            break;
        case event_kind::report:
            this->report();
            break;
        case event_kind::expiry_check:
            for (auto& routes : this->dispatchers) {
                (void)routes->take_expired(this->now);
            }
            this->deliver_all_ready();
            this->push({this->now + 25_ms, 0, event_kind::expiry_check, {}});
            break;
        }
    }

    [[nodiscard]] route_request make_route_request(const model_request& request) const
    {
        route_request route;
        route.ticket = request.ticket;
        route.customer = request.is_small ? "small" : "large";
        route.deadline = request.arrived + deadline;
        route.digest = std::to_string(request.ticket);
        route.tried = request.tried;
        return route;
    }

    void route(const model_request& request)
    {
        if (this->selected_policy != policy::coriander) {
            this->deliver(request, this->choose_baseline_target(request.router));
            return;
        }
        this->open_requests[request.ticket] = request;
        const auto decision = this->dispatchers[static_cast<std::size_t>(request.router)]->submit(
            this->make_route_request(request), this->now);
        if (decision.verdict == admission_verdict::dispatched) {
            this->deliver(request, std::stoi(decision.assignment.target));
        }
    }

    int choose_baseline_target(int router)
    {
        auto& counts = this->in_flight[static_cast<std::size_t>(router)];
        if (this->selected_policy == policy::round_robin) {
            return this->next_round_robin++ % FLAGS_targets;
        }
        if (this->selected_policy == policy::random_choice) {
            return static_cast<int>(this->random() % static_cast<std::uint64_t>(FLAGS_targets));
        }
        const auto first_index = static_cast<std::ptrdiff_t>(this->random() % counts.size());
        auto best = static_cast<int>(first_index);
        for (int i = 0; i < FLAGS_targets; ++i) {
            const auto index = (static_cast<int>(first_index) + i) % FLAGS_targets;
            if (counts[static_cast<std::size_t>(index)] < counts[static_cast<std::size_t>(best)]) {
                best = index;
            }
        }
        return best;
    }

    void deliver(model_request request, int target)
    {
        request.target = target;
        ++request.attempts;
        ++this->in_flight[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(target)];
        auto& target_state = this->targets[static_cast<std::size_t>(target)];
        if (target_state.fails_fast || target_state.waiting.size() >= engine_queue) {
            this->on_refused(request, target_state.fails_fast);
            return;
        }
        target_state.waiting.push_back(request);
        this->start_waiting(target_state);
    }

    void start_waiting(model_target& target_state)
    {
        while (target_state.running < capacity && !target_state.waiting.empty()) {
            auto request = target_state.waiting.front();
            target_state.waiting.pop_front();
            ++target_state.running;
            const auto scale_time = [&](std::int64_t ms) {
                return time_ms{static_cast<std::int64_t>(static_cast<double>(ms) * target_state.slow_factor)};
            };
            this->push({this->now + scale_time(first_token_ms), 0, event_kind::first_token, request});
            this->push({this->now + scale_time(request.service_ms), 0, event_kind::end, request});
        }
    }

    /// The baseline policies retry once, on a target that they choose again.
    void on_refused(model_request request, bool failed)
    {
        --this->in_flight[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(request.target)];
        if (this->selected_policy != policy::coriander) {
            if (request.attempts < 2) {
                this->deliver(request, this->choose_baseline_target(request.router));
                return;
            }
            ++this->result.failed;
            return;
        }
        auto& routes = *this->dispatchers[static_cast<std::size_t>(request.router)];
        routes.finish(request.ticket, failed ? attempt_outcome::failed : attempt_outcome::overloaded,
                      this->now);
        request.tried.push_back(std::to_string(request.target));
        if (const auto next = routes.retry(this->make_route_request(request), this->now)) {
            this->deliver(request, std::stoi(next->target));
            return;
        }
        ++this->result.failed;
    }

    void on_first_token(const model_request& request)
    {
        const auto latency = this->now - request.arrived;
        this->result.first_token.push_back(static_cast<double>(latency.count()));
        this->result.within_deadline[request.is_small ? 1 : 0] += latency <= deadline ? 1 : 0;
        if (this->selected_policy == policy::coriander) {
            this->dispatchers[static_cast<std::size_t>(request.router)]->on_first_token(request.ticket,
                                                                                        this->now);
        }
    }

    void on_end(const model_request& request)
    {
        auto& target_state = this->targets[static_cast<std::size_t>(request.target)];
        --target_state.running;
        this->start_waiting(target_state);
        --this->in_flight[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(request.target)];
        if (this->selected_policy == policy::coriander) {
            this->dispatchers[static_cast<std::size_t>(request.router)]->finish(
                request.ticket, attempt_outcome::succeeded, this->now);
            this->deliver_ready(request.router);
        }
    }

    void deliver_ready(int router)
    {
        for (const auto& assignment :
             this->dispatchers[static_cast<std::size_t>(router)]->take_ready(this->now)) {
            this->deliver(this->open_requests.at(assignment.ticket), std::stoi(assignment.target));
        }
    }

    void deliver_all_ready()
    {
        for (int router = 0; router < FLAGS_routers; ++router) {
            this->deliver_ready(router);
        }
    }

    /// Reports the load of every target to every router, delayed by `report_lag`.
    void report()
    {
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            auto& target_state = this->targets[i];
            target_state.load_history.push_back(
                {this->now, {target_state.running, static_cast<int>(target_state.waiting.size())}});
            while (target_state.load_history.size() > 1 &&
                   target_state.load_history[1].first <= this->now - this->setting.report_lag) {
                target_state.load_history.pop_front();
            }
            const auto [running, queued] = target_state.load_history.front().second;
            for (auto& routes : this->dispatchers) {
                routes->on_load(std::to_string(i), static_cast<std::uint32_t>(running),
                                static_cast<std::uint32_t>(queued), this->now);
            }
        }
        this->push({this->now + report_interval, 0, event_kind::report, {}});
    }

    policy selected_policy;
    scenario setting;
    std::mt19937_64 random;
    std::priority_queue<model_event, std::vector<model_event>, std::greater<>> events;
    std::vector<model_target> targets;
    std::vector<std::unique_ptr<dispatcher<std::mt19937_64>>> dispatchers;
    std::vector<std::vector<int>> in_flight;
    std::map<ticket_id, model_request> open_requests;
    run_statistics result;
    time_ms now;
    double next_arrival_ms = 0.0;
    std::uint64_t last_sequence = 0;
    ticket_id last_ticket = 0;
    int next_round_robin = 0;
};

void print_row(const scenario& setting, const char* name, run_statistics statistics)
{
    const auto share = [](int part, int total) { return total == 0 ? 0.0 : 100.0 * part / total; };
    const double within_deadline = share(statistics.within_deadline[0] + statistics.within_deadline[1],
                                         statistics.sent[0] + statistics.sent[1]);
    std::cout << std::left << std::setw(26) << setting.name << std::setw(14) << name << std::right
              << std::fixed << std::setprecision(0) << std::setw(8) << statistics.quantile(0.5)
              << std::setw(8) << statistics.quantile(0.95) << std::setw(8) << statistics.quantile(0.99)
              << std::setprecision(1) << std::setw(10) << within_deadline << std::setw(10)
              << share(statistics.within_deadline[0], statistics.sent[0]) << std::setw(10)
              << share(statistics.within_deadline[1], statistics.sent[1]) << std::setw(9) << statistics.failed
              << "\n";
}

int run()
{
    const std::vector<scenario> scenarios{
        {"50% load", 0.5, 1.0, false, 0_ms},
        {"90% load", 0.9, 1.0, false, 0_ms},
        {"120% load", 1.2, 1.0, false, 0_ms},
        {"200% load", 2.0, 1.0, false, 0_ms},
        {"70%, one straggler (x5)", 0.7, 5.0, false, 0_ms},
        {"70%, one failing fast", 0.7, 1.0, true, 0_ms},
        {"90%, reports lag 2 s", 0.9, 1.0, false, 2_s},
    };
    std::cout << std::left << std::setw(26) << "scenario" << std::setw(14) << "policy" << std::right
              << std::setw(8) << "p50" << std::setw(8) << "p95" << std::setw(8) << "p99" << std::setw(10)
              << "good%" << std::setw(10) << "large%" << std::setw(10) << "small%" << std::setw(9) << "failed"
              << "\n";
    for (const auto& setting : scenarios) {
        print_row(setting, "coriander", experiment{policy::coriander, setting}.run());
        print_row(setting, "round robin", experiment{policy::round_robin, setting}.run());
        print_row(setting, "random", experiment{policy::random_choice, setting}.run());
        print_row(setting, "least own", experiment{policy::least_in_flight, setting}.run());
    }
    return 0;
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Compares routing policies on simulated targets.\n"
        "Columns: first token in ms; good: first token within 2 s, of all, of the large and of "
        "the small customer (10% of the demand).");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return coriander::run();
}
