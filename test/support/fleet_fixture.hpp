#pragma once

#include "gateway/fleet_controller.hpp"
#include "support/fake_controller_io.hpp"
#include "support/fleet_samples.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/// Several daemons that control the hosts of one service.
struct fleet_fixture {
    struct daemon {
        daemon(fake_controller_io::world& world, const std::string& name)
            : io{world}, control{this->io, this->view, name}
        {
        }
        fake_controller_io io;
        fleet_view view;
        fleet_controller<fake_controller_io> control;
        bool is_alive = true;
        std::map<std::string, listed_host> last_listed; ///< The last list entries passed to the daemon.
    };

    explicit fleet_fixture(std::size_t daemon_count, std::size_t host_count = 9)
    {
        for (const auto& host : samples::free_hosts_of("d", host_count)) {
            this->world.hosts[host.id] = host;
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            const auto name = "edge-" + std::to_string(i);
            this->world.daemons.push_back(name);
            this->daemons.push_back(std::make_unique<daemon>(this->world, name));
            this->daemons.back()->control.set_cheap_loads(true);
        }
    }

    /// Whether the list entries of the two states differ.
    static bool differs(const listed_host& a, const listed_host& b)
    {
        const auto text = [](const listed_host& host) {
            const auto part = host.part ? host.part->replica + std::to_string(host.part->generation) +
                                              std::to_string(static_cast<int>(host.part->phase))
                                        : std::string{};
            return part + "|" + std::to_string(host.incarnation) + (host.is_leaving ? "|leaving" : "") + "|" +
                   (host.staged.empty() ? std::string{} : host.staged.back());
        };
        return text(a) != text(b);
    }

    /// Passes the changes in the platform's list and in the table to a daemon, each change once.
    void deliver_updates(daemon& one)
    {
        for (const auto& [id, host] : std::map{one.view.hosts()}) {
            if (!this->world.hosts.contains(id)) {
                one.view.remove_host(id);
                one.last_listed.erase(id);
            }
        }
        for (const auto& [id, host] : this->world.hosts) {
            const auto known = one.last_listed.find(id);
            if (known == one.last_listed.end() || differs(known->second, host)) {
                auto listed = host;
                listed.is_self_reported = false;
                one.view.set_host(listed, this->now);
                one.last_listed[id] = listed;
            }
        }
        for (const auto& [key, row] : this->world.rows) {
            one.view.set_domain(*parse_domain_key(key), row.record, row.version);
        }
        one.view.mark_lost_domains(this->world.last_version.era, this->now);
    }

    void step(time_ms length = 100_ms)
    {
        this->now = this->now + length;
        for (auto& one : this->daemons) {
            if (one->is_alive) {
                this->deliver_updates(*one);
                one->control.tick(this->service, this->now);
                one->io.deliver();
            }
        }
        this->check_membership_unique();
    }
    void run(time_ms length)
    {
        for (const auto end = this->now + length; this->now < end;) {
            this->step();
        }
    }

    /// Restores the table from a copy of its rows; versions after the copy's are given out again.
    void restore(const std::map<std::string, shared_row>& copy)
    {
        auto& version = this->world.last_version;
        version = {version.era + 1, 0};
        this->world.rows = copy;
        for (auto& [key, row] : this->world.rows) {
            row.version.era = version.era;
            version.number = std::max(version.number, row.version.number);
        }
    }

    /// Runs until replicas are planned; no host has joined one yet.
    void run_until_planned()
    {
        for (int i = 0; i < 100 && this->record().replicas.empty(); ++i) {
            this->step();
        }
        REQUIRE_FALSE(this->record().replicas.empty());
    }

    /// Checks that no host belongs to two replicas of the record.
    void check_membership_unique() const
    {
        std::set<std::string> members;
        for (const auto& replica : this->record().replicas) {
            for (const auto& host : replica.hosts) {
                CHECK(members.insert(host.id).second);
            }
        }
    }

    [[nodiscard]] domain_record record() const
    {
        const auto found = this->world.rows.find("assistant/d");
        return found == this->world.rows.end() ? domain_record{} : found->second.record;
    }
    [[nodiscard]] std::size_t open_replicas(const std::string& model = {}) const
    {
        const auto replicas = this->record().replicas;
        return static_cast<std::size_t>(
            std::count_if(replicas.begin(), replicas.end(), [&](const replica_entry& one) {
                return one.phase == replica_phase::open && (model.empty() || one.model == model);
            }));
    }
    daemon& owner()
    {
        const auto name = this->record().owner;
        return *this->daemons[static_cast<std::size_t>(std::stoi(name.substr(name.find('-') + 1)))];
    }

    fake_controller_io::world world;
    std::vector<std::unique_ptr<daemon>> daemons;
    relay_service service = samples::assistant();
    time_ms now = 1'000'000_ms;
};

} // namespace coriander
