#include "coriander/relay/admission_forecast.hpp"
#include "coriander/relay/fleet_demand.hpp"
#include "coriander/relay/target_pool.hpp"
#include "gateway/service_state.hpp"
#include "support/simulated_batch_replica.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriander {
namespace {

constexpr time_ms start = 1'000'000_ms;
constexpr time_ms tick = 5_ms;

engine_profile engine_of_model()
{
    engine_profile engine;
    engine.slots = 30;
    engine.step_ms = 6.0;
    engine.step_ms_per_request = 0.05;
    engine.prompt_tokens_per_s = 50000.0;
    engine.steps_per_event = 7;
    return engine;
}

/// How a request of the model went.
struct outcome {
    double tokens = 0.0;
    bool is_whole = false;
    bool is_timely = false;
};

/// Many gateways before few replicas of a large model. Each gateway sees a small part of the requests.
class shared_replicas {
public:
    explicit shared_replicas(std::size_t count) : gateways(gateway_count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->add_replica();
        }
    }

    /// Lets the oldest replica be lost so often; a new one takes its place after `mending`.
    void lose_replicas(time_ms interval, time_ms mending)
    {
        this->loss_interval = interval;
        this->mending = mending;
        this->next_loss = this->now + interval;
    }

    /// Plays `length` with so many requests a second, which arrive at random.
    void play(time_ms length, double requests_per_s)
    {
        std::exponential_distribution<double> pause{requests_per_s / 1000.0};
        double next = pause(this->random);
        for (time_ms at{}; at < length; at = at + tick) {
            this->now = start + at;
            for (; next <= static_cast<double>(at.count()); next += pause(this->random)) {
                this->arrive();
            }
            this->give_up_late_ones();
            this->lose_and_mend();
            this->exchange_loads(at);
            for (auto& [name, replica] : this->replicas) {
                replica.work_until(this->now, [this, &name = name](std::size_t id, bool is_last) {
                    this->on_event(name, id, is_last);
                });
            }
        }
    }

    /// The served part of the requests; with `largest` only of so large a part of them, by size.
    [[nodiscard]] double served(double largest = 1.0) const
    {
        auto all = this->outcomes();
        std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.tokens > b.tokens; });
        const auto count = static_cast<std::ptrdiff_t>(largest * static_cast<double>(all.size()));
        const auto whole =
            std::count_if(all.begin(), all.begin() + count, [](const auto& one) { return one.is_whole; });
        return static_cast<double>(whole) / static_cast<double>(count);
    }

    /// The part of the requests that was served with the first event within the objective.
    [[nodiscard]] double timely() const
    {
        const auto all = this->outcomes();
        const auto count =
            std::count_if(all.begin(), all.end(), [](const auto& one) { return one.is_timely; });
        return static_cast<double>(count) / static_cast<double>(all.size());
    }

private:
    static constexpr time_ms never = start + 100000_s;
    static constexpr std::size_t gateway_count = 60;
    static constexpr time_ms round_length = 400_ms;
    static constexpr time_ms time_limit = 7_s;
    static constexpr time_ms objective = 300_ms;
    static constexpr std::uint64_t model = 1;

    struct one_gateway {
        target_pool board;
        model_meter meter;
        fleet_demand demand;
    };

    struct open_request {
        std::size_t gateway = 0;
        std::string target;
        time_ms arrived;
        double prompt = 0.0;
        unsigned events = 0; ///< Still to be written.
        unsigned all_events = 0;
        time_ms begun;
        unsigned attempts = 0;
        double tokens = 0.0;
        bool has_begun = false;
        bool is_open = false;
        bool is_whole = false;
        bool is_timely = false; ///< Its first event was within the objective.
        bool is_broken = false; ///< Its second replica was lost as well.
    };

    [[nodiscard]] static std::string domain_of(std::size_t gateway)
    {
        const std::vector<std::string> names{"gent", "leuven", "brugge"};
        return names[gateway % names.size()];
    }

    void arrive()
    {
        const auto gateway = this->random() % gateway_count;
        std::exponential_distribution<double> drawn{1.0};
        constexpr double mean_prompt = 1500.0;
        constexpr double mean_events = 30.0;
        constexpr double most_events = 78.0;
        const double prompt = mean_prompt * drawn(this->random);
        const auto events =
            1 + static_cast<unsigned>(std::min(most_events, mean_events * drawn(this->random)));
        open_request request;
        request.gateway = gateway;
        request.arrived = this->now;
        request.prompt = prompt;
        request.events = events;
        request.all_events = events;
        request.tokens = prompt + 10.0 * events * this->engine.steps_per_event;
        const auto best = this->choose(gateway);
        const auto advice = this->advise(request, best);
        this->requests.push_back(request);
        if (advice.is_admitted) {
            this->send(this->requests.size() - 1, best->target.id);
        }
    }

    admission_decision advise(const open_request& request, const std::optional<target_choice>& best)
    {
        auto& gateway = this->gateways[request.gateway];
        gateway.meter.on_request(request.prompt, this->now);
        const auto load =
            gateway.demand.total(model, gateway.meter.load(this->now), gateway_count, this->now);
        admission_input input;
        input.best = best;
        input.usual_duration = time_ms{static_cast<std::int64_t>(load.duration_ms)};
        input.objective = objective;
        input.time_left = time_limit;
        input.supply = static_cast<double>(this->listed.size()) / replicas_for(this->engine, {}, load);
        input.draw = this->draw();
        return forecast_admission(input);
    }

    [[nodiscard]] std::optional<target_choice> choose(std::size_t gateway)
    {
        return this->gateways[gateway].board.choose({"m", domain_of(gateway), {}, gateway_count},
                                                    this->draw(), this->now);
    }

    void send(std::size_t id, const std::string& target)
    {
        auto& request = this->requests[id];
        request.is_open = true;
        request.has_begun = false;
        request.target = target;
        ++request.attempts;
        this->gateways[request.gateway].board.on_sent(target, this->now);
        this->replicas.at(target).submit({id, request.prompt, request.events});
    }

    void add_replica()
    {
        const std::vector<std::string> domains{"gent", "gent", "leuven", "leuven", "brugge"};
        const auto number = this->formed++;
        const auto id = "replica-" + std::to_string(number);
        this->listed.push_back(
            {id, id, "127.0.0.1:1", domains[number % domains.size()], "m", number, this->engine.slots, 1.0});
        this->replicas.emplace(id, this->engine);
        this->list_targets();
    }

    void list_targets()
    {
        for (auto& gateway : this->gateways) {
            gateway.board.set_targets(this->listed);
        }
    }

    /// Each gateway tells some others what it knows of loads, in turn, once in a round.
    void exchange_loads(time_ms at)
    {
        constexpr std::size_t peers = 8;
        constexpr std::size_t loads_told = 16;
        const auto turns = static_cast<std::size_t>(round_length.count() / tick.count());
        const auto turn = static_cast<std::size_t>(at.count() / tick.count()) % turns;
        for (std::size_t i = turn; i < gateway_count; i += turns) {
            const auto& teller = this->gateways[i];
            const std::vector<model_demand> demands{{model, teller.meter.load(this->now)}};
            for (std::size_t k = 0; k < peers; ++k) {
                auto& other = this->gateways[this->random() % gateway_count];
                other.demand.on_report(i, demands, this->now);
                for (const auto& report : teller.board.reports(loads_told, this->now)) {
                    other.board.on_peer_report(report, this->now);
                }
            }
        }
    }

    void lose_and_mend()
    {
        if (this->now >= this->next_mending) {
            this->next_mending = never;
            this->add_replica();
        }
        if (this->now >= this->next_loss) {
            this->next_loss = this->now + this->loss_interval;
            this->next_mending = this->now + this->mending;
            this->lose_replica();
        }
    }

    /// The oldest replica's streams go on at others, once.
    void lose_replica()
    {
        const auto lost = this->listed.front().id;
        this->listed.erase(this->listed.begin());
        this->list_targets();
        for (std::size_t id = 0; id < this->requests.size(); ++id) {
            auto& request = this->requests[id];
            if (!request.is_open || request.target != lost) {
                continue;
            }
            this->end(request);
            request.is_broken = request.attempts > 1;
            if (!request.is_broken) {
                this->send(id, this->choose(request.gateway)->target.id);
            }
        }
        this->replicas.erase(lost);
    }

    void on_event(const std::string& name, std::size_t id, bool is_last)
    {
        auto& request = this->requests[id];
        auto& board = this->gateways[request.gateway].board;
        const auto& replica = this->replicas.at(name);
        --request.events;
        if (!request.has_begun) {
            request.has_begun = true;
            request.begun = this->now;
            request.is_timely = this->now - request.arrived <= objective && request.attempts == 1;
            board.on_response_started(name, this->now);
            board.on_load(name, replica.running_count(), replica.waiting_count(), this->now);
        }
        if (is_last) {
            request.is_whole = true;
            const double tokens = request.all_events * this->engine.steps_per_event;
            this->gateways[request.gateway].meter.on_answer(tokens, this->now - request.begun);
            this->end(request);
        }
    }

    void end(open_request& request)
    {
        request.is_open = false;
        this->gateways[request.gateway].board.on_ended(request.target, request.has_begun, false, this->now);
    }

    void give_up_late_ones()
    {
        for (std::size_t id = 0; id < this->requests.size(); ++id) {
            auto& request = this->requests[id];
            if (request.is_open && this->now - request.arrived > time_limit) {
                this->replicas.at(request.target).cancel(id);
                this->end(request);
            }
        }
    }

    /// Requests that had the time to end.
    [[nodiscard]] std::vector<outcome> outcomes() const
    {
        std::vector<outcome> all;
        for (const auto& one : this->requests) {
            if (this->now - one.arrived > time_limit && !one.is_broken) {
                all.push_back({one.tokens, one.is_whole, one.is_whole && one.is_timely});
            }
        }
        return all;
    }

    [[nodiscard]] double draw() { return std::uniform_real_distribution<double>{0.0, 1.0}(this->random); }

    engine_profile engine = engine_of_model();
    std::vector<one_gateway> gateways;
    std::vector<relay_target> listed;
    std::map<std::string, simulated_batch_replica> replicas;
    std::size_t formed = 0;
    time_ms loss_interval;
    time_ms mending;
    time_ms next_loss = never;
    time_ms next_mending = never;
    std::vector<open_request> requests;
    std::mt19937 random{20261204};
    time_ms now = start;
};

} // namespace

// The bound is the users' rule: the largest tenth is served at least half as often as all.
TEST_CASE("shared replicas: load that gateways do not see of each other does not starve the largest requests")
{
    shared_replicas fleet{6};
    fleet.lose_replicas(3_s, 2500_ms);
    fleet.play(60_s, 100.0);
    INFO("served: all " << fleet.served() << ", largest tenth " << fleet.served(0.1) << ", timely "
                        << fleet.timely());
    CHECK(fleet.served(0.1) >= 0.5 * fleet.served());
}

TEST_CASE("shared replicas: with more requests than are borne those that are taken are served in time")
{
    shared_replicas fleet{6};
    fleet.lose_replicas(3_s, 2500_ms);
    fleet.play(60_s, 100.0);
    INFO("served: all " << fleet.served() << ", timely " << fleet.timely());
    CHECK(fleet.timely() >= 0.5 * fleet.served());
}

} // namespace coriander
