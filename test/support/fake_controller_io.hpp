#pragma once

#include "gateway/fleet_controller.hpp"
#include "gateway/fleet_view.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// A domain's row in the table, shared by several controllers.
struct shared_row {
    domain_record record;
    row_version version;
};

/// An in-memory implementation of `controller_io`: versioned rows, and hosts that execute orders. Callbacks
/// are queued until `deliver`, so that a test can act between a request and its answer.
class fake_controller_io {
public:
    /// The table and the hosts, shared by all daemons of a test.
    struct world {
        std::map<std::string, shared_row> rows;
        std::map<std::string, listed_host> hosts;
        std::vector<std::string> daemons;
        std::vector<host_order> orders; ///< Executed orders, oldest first.
        row_version last_version;
        std::vector<std::string> unreachable;         ///< Hosts that answer neither requests nor orders.
        std::vector<std::string> ended;               ///< Hosts whose process has ended: nothing listens.
        std::vector<std::string> ignores_orders;      ///< Hosts that answer status requests but no orders.
        std::map<std::string, std::uint32_t> running; ///< Running requests by host.
        unsigned commits = 0;      ///< Writes of rows that were sent, whatever became of them.
        unsigned double_joins = 0; ///< Joins by hosts that still belonged to another replica.
    };

    explicit fake_controller_io(world& shared) : shared{shared} {}

    void commit(const domain_key& key, const domain_record& record, row_version version,
                const std::function<void(commit_state)>& done)
    {
        ++this->shared.commits;
        this->pending.push_back([this, key, record, version, done] {
            if (!this->reaches_table) {
                done(commit_state::not_applied);
                return;
            }
            auto& row = this->shared.rows[key.row_key()];
            const bool is_absent = row.version.number == 0 && version.number == 0;
            if (!is_absent && row.version != version) {
                done(commit_state::conflict);
                return;
            }
            ++this->shared.last_version.number;
            row = {record, this->shared.last_version};
            if (this->loses_commit_answers) {
                done(commit_state::unknown);
                return;
            }
            if (this->delays_commit_answers) {
                this->pending.push_back([done] { done(commit_state::applied); });
                return;
            }
            done(commit_state::applied);
        });
    }

    void order(const listed_host& host, const host_order& order,
               const std::function<void(order_answer)>& done)
    {
        this->pending.push_back([this, id = host.id, order, done] { done(this->apply_order(id, order)); });
    }

    void request_status(const listed_host& host, const std::function<void(std::optional<host_status>)>& done)
    {
        this->pending.push_back([this, id = host.id, done] {
            if (!this->answers(id)) {
                done(std::nullopt);
                return;
            }
            const auto& known = this->shared.hosts.at(id);
            host_status status;
            status.incarnation = known.incarnation;
            status.staged = known.staged;
            status.part = known.part;
            const auto running = this->shared.running.find(id);
            status.running = running == this->shared.running.end() ? 0 : running->second;
            done(status);
        });
    }

    void probe(const listed_host& host, time_ms /*limit*/,
               const std::function<void(std::optional<host_status>)>& done)
    {
        this->request_status(host, done);
    }

    void check_port(const listed_host& host, time_ms /*limit*/, const std::function<void(port_state)>& done)
    {
        this->pending.push_back([this, id = host.id, done] {
            const auto& ended = this->shared.ended;
            const bool has_ended = std::find(ended.begin(), ended.end(), id) != ended.end();
            done(has_ended           ? port_state::refused
                 : this->answers(id) ? port_state::open
                                     : port_state::unknown);
        });
    }

    [[nodiscard]] std::vector<std::string> daemons() const { return this->shared.daemons; }

    /// Executes all queued requests and calls their callbacks.
    void deliver()
    {
        for (const auto& answer : std::exchange(this->pending, {})) {
            answer();
        }
    }
    /// Discards all queued requests, as when the daemon is killed.
    void drop() { this->pending.clear(); }

    bool reaches_table = true;
    bool loses_commit_answers = false;
    bool delays_commit_answers = false; ///< The table's feed shows a change before the commit's answer.

private:
    [[nodiscard]] bool answers(const std::string& id) const
    {
        const auto& unreachable = this->shared.unreachable;
        return this->shared.hosts.contains(id) &&
               std::find(unreachable.begin(), unreachable.end(), id) == unreachable.end();
    }

    order_answer apply_order(const std::string& id, const host_order& order)
    {
        const auto& ignoring = this->shared.ignores_orders;
        if (!this->answers(id) || std::find(ignoring.begin(), ignoring.end(), id) != ignoring.end()) {
            return order_answer::unanswered;
        }
        auto& host = this->shared.hosts.at(id);
        const bool is_member =
            host.part && host.part->replica == order.replica && host.part->generation == order.generation;
        if (order.kind == order_kind::join) {
            this->shared.double_joins += host.part && !is_member ? 1 : 0;
            host.part = replica_part{order.replica, order.generation, host_phase::ready};
            host.staged = {order.model};
        }
        else if (order.kind == order_kind::stage) {
            host.staged = {order.model};
        }
        else if (!is_member) {
            return order_answer::unfitting;
        }
        else if (order.kind == order_kind::open) {
            host.part->phase = host_phase::open;
        }
        else {
            host.part.reset();
        }
        this->shared.orders.push_back(order);
        return order_answer::accepted;
    }

    world& shared;
    std::vector<std::function<void()>> pending;
};

static_assert(controller_io<fake_controller_io>);

} // namespace coriander
