// Compares the routing of this project with round robin, random choice and the least loaded by one's own
// count, on modelled targets and time. Prints a table; the same seed gives the same figures.

#include "coriander/dispatcher.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>

DEFINE_uint64(seed, 1, "seed of arrivals and choices");
DEFINE_int32(routers, 8, "entry hosts");
DEFINE_int32(targets, 24, "replicas");
DEFINE_double(seconds, 60, "modelled time");

namespace coriander {
namespace {

constexpr int capacity = 16;
constexpr int engine_queue = 64;
constexpr std::int64_t first_token_ms = 60;
constexpr double mean_service_ms = 800.0;
constexpr time_ms report_interval = 500_ms;
constexpr time_ms deadline = 2_s; ///< A first token after this is worth nothing to the caller.
constexpr double small_share = 0.1;

enum class policy { coriander, round_robin, random_choice, least_own };

struct scenario {
    const char* name;
    double load;             ///< Demand in units of the capacity of all targets.
    double straggler = 1.0;  ///< How much slower target 0 is.
    bool fails_fast = false; ///< Target 0 answers each request with an error at once.
    time_ms report_lag;
};

struct model_request {
    ticket_id ticket = 0;
    int router = 0;
    int target = 0;
    bool is_small = false; ///< Of the small customer.
    time_ms arrived;
    std::int64_t service_ms = 0;
    int attempts = 0;
    std::vector<std::string> tried;
};

struct model_target {
    std::deque<model_request> waiting;
    int running = 0;
    double slowness = 1.0;
    bool fails_fast = false;
    std::deque<std::pair<time_ms, std::pair<int, int>>> past; ///< Load by time.
};

enum class event_kind { arrival, first_token, end, report, sweep };

struct model_event {
    time_ms at;
    std::uint64_t order = 0;
    event_kind kind = event_kind::arrival;
    model_request request;
    bool operator>(const model_event& other) const
    {
        return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
};

struct figures {
    std::vector<double> first_token;
    int sent[2] = {0, 0};
    int good[2] = {0, 0};
    int failed = 0;

    [[nodiscard]] double quantile(double share)
    {
        if (this->first_token.empty()) {
            return 0.0;
        }
        const auto place =
            static_cast<std::ptrdiff_t>(share * static_cast<double>(this->first_token.size() - 1));
        std::nth_element(this->first_token.begin(), this->first_token.begin() + place,
                         this->first_token.end());
        return this->first_token[static_cast<std::size_t>(place)];
    }
};

/// One run of one policy in one scenario.
class experiment {
public:
    experiment(policy chosen, const scenario& setting) : chosen{chosen}, setting{setting}, random{FLAGS_seed}
    {
        this->targets.resize(static_cast<std::size_t>(FLAGS_targets));
        this->targets[0].slowness = setting.straggler;
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
            this->own.emplace_back(FLAGS_targets, 0);
        }
    }

    figures run()
    {
        this->push({time_ms{}, 0, event_kind::report, {}});
        this->push({time_ms{}, 0, event_kind::sweep, {}});
        this->next_arrival();
        while (!this->events.empty()) {
            const auto one = this->events.top();
            this->events.pop();
            this->now = one.at;
            if (this->now.seconds() > FLAGS_seconds + 10.0) {
                break;
            }
            this->handle(one);
        }
        return std::move(this->result);
    }

private:
    void push(model_event one)
    {
        one.order = ++this->last_order;
        this->events.push(std::move(one));
    }

    void next_arrival()
    {
        const double per_ms = this->setting.load * FLAGS_targets * capacity / mean_service_ms;
        this->arrival_clock += std::exponential_distribution<double>{per_ms}(this->random);
        if (this->arrival_clock > FLAGS_seconds * 1000.0) {
            return;
        }
        model_request request;
        request.ticket = ++this->last_ticket;
        request.router = static_cast<int>(this->random() % static_cast<std::uint64_t>(FLAGS_routers));
        request.is_small = std::bernoulli_distribution{small_share}(this->random);
        request.arrived = time_ms{static_cast<std::int64_t>(this->arrival_clock)};
        request.service_ms = first_token_ms + static_cast<std::int64_t>(std::exponential_distribution<double>{
                                                  1.0 / (mean_service_ms - first_token_ms)}(this->random));
        this->push({request.arrived, 0, event_kind::arrival, request});
    }

    void handle(const model_event& one)
    {
        switch (one.kind) {
        case event_kind::arrival:
            ++this->result.sent[one.request.is_small ? 1 : 0];
            this->route(one.request);
            this->next_arrival();
            break;
        case event_kind::first_token:
            this->on_first_token(one.request);
            break;
        case event_kind::end:
            this->on_end(one.request);
            break;
        case event_kind::report:
            this->report();
            break;
        case event_kind::sweep:
            for (auto& each : this->dispatchers) {
                (void)each->take_expired(this->now);
            }
            this->pump_all();
            this->push({this->now + 25_ms, 0, event_kind::sweep, {}});
            break;
        }
    }

    [[nodiscard]] route_request to_route(const model_request& request) const
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
        if (this->chosen != policy::coriander) {
            this->deliver(request, this->choose_simply(request.router));
            return;
        }
        this->open[request.ticket] = request;
        const auto decision = this->dispatchers[static_cast<std::size_t>(request.router)]->submit(
            this->to_route(request), this->now);
        if (decision.verdict == admission_verdict::dispatched) {
            this->deliver(request, std::stoi(decision.assignment.target));
        }
    }

    int choose_simply(int router)
    {
        auto& counts = this->own[static_cast<std::size_t>(router)];
        if (this->chosen == policy::round_robin) {
            return this->turn++ % FLAGS_targets;
        }
        if (this->chosen == policy::random_choice) {
            return static_cast<int>(this->random() % static_cast<std::uint64_t>(FLAGS_targets));
        }
        const auto offset = static_cast<std::ptrdiff_t>(this->random() % counts.size());
        auto best = static_cast<int>(offset);
        for (int i = 0; i < FLAGS_targets; ++i) {
            const auto place = (static_cast<int>(offset) + i) % FLAGS_targets;
            if (counts[static_cast<std::size_t>(place)] < counts[static_cast<std::size_t>(best)]) {
                best = place;
            }
        }
        return best;
    }

    void deliver(model_request request, int target)
    {
        request.target = target;
        ++request.attempts;
        ++this->own[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(target)];
        auto& one = this->targets[static_cast<std::size_t>(target)];
        if (one.fails_fast || one.waiting.size() >= engine_queue) {
            this->on_refused(request, one.fails_fast);
            return;
        }
        one.waiting.push_back(request);
        this->start_waiting(one);
    }

    void start_waiting(model_target& one)
    {
        while (one.running < capacity && !one.waiting.empty()) {
            auto request = one.waiting.front();
            one.waiting.pop_front();
            ++one.running;
            const auto slow = [&](std::int64_t ms) {
                return time_ms{static_cast<std::int64_t>(static_cast<double>(ms) * one.slowness)};
            };
            this->push({this->now + slow(first_token_ms), 0, event_kind::first_token, request});
            this->push({this->now + slow(request.service_ms), 0, event_kind::end, request});
        }
    }

    /// The baselines retry once, on another target of their choice.
    void on_refused(model_request request, bool failed)
    {
        --this->own[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(request.target)];
        if (this->chosen != policy::coriander) {
            if (request.attempts < 2) {
                this->deliver(request, this->choose_simply(request.router));
                return;
            }
            ++this->result.failed;
            return;
        }
        auto& routes = *this->dispatchers[static_cast<std::size_t>(request.router)];
        routes.finish(request.ticket, failed ? attempt_outcome::failed : attempt_outcome::overloaded,
                      this->now);
        request.tried.push_back(std::to_string(request.target));
        if (const auto next = routes.retry(this->to_route(request), this->now)) {
            this->deliver(request, std::stoi(next->target));
            return;
        }
        ++this->result.failed;
    }

    void on_first_token(const model_request& request)
    {
        const auto latency = this->now - request.arrived;
        this->result.first_token.push_back(static_cast<double>(latency.count()));
        this->result.good[request.is_small ? 1 : 0] += latency <= deadline ? 1 : 0;
        if (this->chosen == policy::coriander) {
            this->dispatchers[static_cast<std::size_t>(request.router)]->on_first_token(request.ticket,
                                                                                        this->now);
        }
    }

    void on_end(const model_request& request)
    {
        auto& one = this->targets[static_cast<std::size_t>(request.target)];
        --one.running;
        this->start_waiting(one);
        --this->own[static_cast<std::size_t>(request.router)][static_cast<std::size_t>(request.target)];
        if (this->chosen == policy::coriander) {
            this->dispatchers[static_cast<std::size_t>(request.router)]->finish(
                request.ticket, attempt_outcome::succeeded, this->now);
            this->pump(request.router);
        }
    }

    void pump(int router)
    {
        for (const auto& assignment :
             this->dispatchers[static_cast<std::size_t>(router)]->take_ready(this->now)) {
            this->deliver(this->open.at(assignment.ticket), std::stoi(assignment.target));
        }
    }

    void pump_all()
    {
        for (int router = 0; router < FLAGS_routers; ++router) {
            this->pump(router);
        }
    }

    /// Every router asks every target; with a lag it is told the load of some time ago.
    void report()
    {
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            auto& one = this->targets[i];
            one.past.push_back({this->now, {one.running, static_cast<int>(one.waiting.size())}});
            while (one.past.size() > 1 && one.past[1].first <= this->now - this->setting.report_lag) {
                one.past.pop_front();
            }
            const auto [running, queued] = one.past.front().second;
            for (auto& routes : this->dispatchers) {
                routes->on_load(std::to_string(i), static_cast<std::uint32_t>(running),
                                static_cast<std::uint32_t>(queued), this->now);
            }
        }
        this->push({this->now + report_interval, 0, event_kind::report, {}});
    }

    policy chosen;
    scenario setting;
    std::mt19937_64 random;
    std::priority_queue<model_event, std::vector<model_event>, std::greater<>> events;
    std::vector<model_target> targets;
    std::vector<std::unique_ptr<dispatcher<std::mt19937_64>>> dispatchers;
    std::vector<std::vector<int>> own;
    std::map<ticket_id, model_request> open;
    figures result;
    time_ms now;
    double arrival_clock = 0.0;
    std::uint64_t last_order = 0;
    ticket_id last_ticket = 0;
    int turn = 0;
};

void print_row(const scenario& setting, const char* name, figures one)
{
    const auto share = [](int part, int whole) { return whole == 0 ? 0.0 : 100.0 * part / whole; };
    const double good = share(one.good[0] + one.good[1], one.sent[0] + one.sent[1]);
    std::cout << std::left << std::setw(26) << setting.name << std::setw(14) << name << std::right
              << std::fixed << std::setprecision(0) << std::setw(8) << one.quantile(0.5) << std::setw(8)
              << one.quantile(0.95) << std::setw(8) << one.quantile(0.99) << std::setprecision(1)
              << std::setw(10) << good << std::setw(10) << share(one.good[0], one.sent[0]) << std::setw(10)
              << share(one.good[1], one.sent[1]) << std::setw(9) << one.failed << "\n";
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
        print_row(setting, "least own", experiment{policy::least_own, setting}.run());
    }
    return 0;
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Compares routing policies on modelled targets.\n"
        "Columns: first token in ms; good: first token within 2 s, of all, of the large and of "
        "the small customer (10% of the demand).");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return coriander::run();
}
