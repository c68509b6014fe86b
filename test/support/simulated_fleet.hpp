#pragma once

#include "controller/shard_manager.hpp"
#include "coriander/replica_health.hpp"
#include "support/faulty_table.hpp"
#include "support/manual_clock.hpp"
#include "support/simulated_engine.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coriander {

inline constexpr auto config_text = R"(
[[profile]]
name = "steady"
kind = "model"
model = "stroller-7b"
hosts_per_replica = 2

[[service]]
name = "assistant"
profile = "steady"
replicas = 2
)";

inline settings simulated_settings(bool checks_fence)
{
    settings values;
    values.lease_duration = 3_s;
    values.dark_grace = 12_s;
    values.reform_interval = 100_ms;
    values.targets_check_fence = checks_fence;
    return values;
}

/// Simulates controllers, engines, a router's view and the table in one fabric domain, on a manual clock.
class simulated_fleet {
public:
    simulated_fleet(std::size_t controller_count, std::size_t engine_count, bool checks_fence)
        : values{simulated_settings(checks_fence)}, config{parse_configuration(config_text, "model").config}
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            const auto id = "host-" + std::to_string(i);
            this->engines.emplace(id, std::make_unique<simulated_engine>(id, checks_fence));
        }
        for (std::size_t i = 0; i < controller_count; ++i) {
            this->controllers.push_back(std::make_unique<simulated_controller>(*this, i));
        }
    }

    struct simulated_controller {
        simulated_controller(simulated_fleet& fleet, std::size_t number)
            : table{fleet.rows}, health{2_s}, keeper{"fabric",
                                                     "entry-" + std::to_string(number) + "@1",
                                                     fleet.values,
                                                     table,
                                                     fleet.clock,
                                                     [this](const engine_order& order) { this->orders.push_back(order); }}
        {
        }
        faulty_table table;
        replica_health health;
        std::vector<engine_order> orders; ///< Decided but not sent yet; the controller may freeze in between.
        shard_manager<faulty_table, manual_clock> keeper;
        bool frozen = false;
    };

    /// Runs one round of a controller. Its orders remain unsent if `send_now` is false.
    void run(std::size_t number, bool send_now = true)
    {
        auto& controller = *this->controllers[number];
        if (controller.frozen) {
            return;
        }
        for (const auto& [id, engine] : this->engines) {
            if (engine->is_responsive()) {
                controller.health.on_report(engine->report(), this->clock.now());
            }
        }
        if (controller.keeper.hold()) {
            auto snapshot = this->snapshot_for(controller);
            controller.keeper.work(this->config, snapshot);
        }
        if (send_now) {
            this->send_orders(number);
        }
    }

    void send_orders(std::size_t number)
    {
        for (const auto& order : std::exchange(this->controllers[number]->orders, {})) {
            this->engines.at(order.host)->receive(order.body);
        }
    }

    /// Advances the clock in steps of 250 ms and runs all controllers in each step.
    void run_for(time_ms length)
    {
        for (time_ms passed; passed < length; passed = passed + 250_ms) {
            for (std::size_t i = 0; i < this->controllers.size(); ++i) {
                this->run(i);
            }
            this->poll_reports();
            this->clock.advance(250_ms);
        }
    }

    /// The router polls the reports of all hosts.
    void poll_reports()
    {
        for (const auto& [id, engine] : this->engines) {
            if (engine->is_responsive()) {
                this->router_view.on_report(engine->report(), this->clock.now());
            }
        }
    }

    [[nodiscard]] std::vector<replica_record> replicas()
    {
        std::vector<replica_record> list;
        const auto found = this->rows.scan(replica_prefix);
        for (const auto& row : found.value()) {
            list.push_back(*decode_replica(row.value));
        }
        return list;
    }

    [[nodiscard]] std::size_t serving()
    {
        std::size_t count = 0;
        for (const auto& replica : this->replicas()) {
            count += this->router_view.check(replica, this->clock.now()).serves() ? 1 : 0;
        }
        return count;
    }

    /// A description of the first violated invariant; empty if there is none.
    [[nodiscard]] std::string invariant_violation()
    {
        std::set<std::string> assigned;
        for (const auto& replica : this->replicas()) {
            for (const auto& member : replica.members) {
                if (!assigned.insert(member.host).second) {
                    return member.host + " belongs to two replicas";
                }
                const auto claim = this->rows.read(host_claim_row_key(member.host)).value();
                const auto owner = claim ? decode_host_claim(claim->value) : std::nullopt;
                if (!owner || owner->replica != replica.id() || owner->generation != replica.generation) {
                    return member.host + " is a member of " + replica.id() +
                           " but its claim row does not match";
                }
            }
        }
        return {};
    }

    platform_table rows;
    manual_clock clock;
    settings values;
    configuration config;
    std::map<std::string, std::unique_ptr<simulated_engine>> engines;
    std::vector<std::unique_ptr<simulated_controller>> controllers;
    replica_health router_view{2_s};

private:
    fleet_snapshot snapshot_for(simulated_controller& controller)
    {
        std::vector<host_record> hosts;
        for (const auto& [id, engine] : this->engines) {
            hosts.push_back({id, id + ":1", "fabric", "gent", "", host_kind::engine, host_state::live});
        }
        auto snapshot = make_snapshot(std::move(hosts), this->rows.scan(replica_prefix).value(),
                                      this->rows.scan(host_claim_prefix).value(), std::vector<table_row>{});
        const auto now = this->clock.now();
        for (auto& host : snapshot.view.hosts) {
            if (const auto* report = controller.health.fresh_report(host.record.id, now)) {
                host.report = *report;
            }
            const auto since = controller.keeper.held_since();
            const auto heard =
                std::max(since, controller.health.last_report_time(host.record.id).value_or(since));
            host.lost = now - heard > this->values.lost_after;
        }
        return snapshot;
    }
};

} // namespace coriander
