#include "coriander/relay/target_pool.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;
constexpr int host_count = 4;

/// When a host has stated what, as the host sees it.
struct host_account {
    bool is_leaving = false;
    time_ms pause_end;
};

/// A daemon's targets and what their hosts have stated. Hosts are listed, listed late, gone and restarted at
/// random.
struct stated_targets {
    stated_targets()
    {
        this->pool.observe(this->statements);
        for (int i = 0; i < host_count; ++i) {
            relay_target target;
            target.id = target.host = "h" + std::to_string(i);
            target.address = "10.0.0." + std::to_string(i) + ":80";
            target.incarnation = target.generation = 1;
            this->current.push_back(target);
        }
        this->listed = this->current;
        this->pool.set_targets(this->listed);
    }

    [[nodiscard]] host_account& account_of(const relay_target& target)
    {
        return this->accounts[{target.host, target.incarnation, target.address}];
    }
    /// Whether the host with which a request would end up takes it now.
    [[nodiscard]] bool is_forbidden(const relay_target& target)
    {
        const auto& account = this->account_of(target);
        return account.is_leaving || this->now < account.pause_end;
    }
    void change(int action, std::size_t host, time_ms length)
    {
        auto& target = this->current[host];
        const auto key = key_of_host(target.host, target.incarnation, target.address);
        switch (action) {
        case 0:
            this->now = this->now + length;
            return;
        case 1:
            this->statements.on_leaving(key, this->now);
            this->account_of(target).is_leaving = true;
            break;
        case 2:
            this->statements.on_pause(key, length, 0.5, this->now);
            this->account_of(target).pause_end =
                std::max(this->account_of(target).pause_end, this->now + length);
            break;
        case 3: // A restart, which the list does not show yet.
            target.generation = ++target.incarnation;
            return;
        case 4:
            target.address = "10.0.1." + std::to_string(length.count()) + ":80";
            return;
        case 5: // The list is read again.
            this->older = std::exchange(this->listed, this->current);
            this->pool.set_targets(this->listed);
            return;
        default: // An old copy of the list.
            std::swap(this->older, this->listed);
            this->pool.set_targets(this->listed);
            return;
        }
        this->pool.apply_statements();
    }

    time_ms now = start;
    std::vector<relay_target> current;
    std::vector<relay_target> listed;
    std::vector<relay_target> older;
    std::map<std::tuple<std::string, std::uint64_t, std::string>, host_account> accounts;
    target_statements statements;
    target_pool pool;
};

} // namespace

TEST_CASE("target pool: no attempt starts at a host that leaves, or before the time that it stated")
{
    rc::prop("whatever hosts state and the list shows", [] {
        stated_targets world;
        std::optional<relay_target> selected;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            world.change(*rc::gen::inRange(0, 7), *rc::gen::inRange<std::size_t>(0, host_count),
                         time_ms{*rc::gen::inRange(1, 3000)});
            // A selection made earlier, as with a permit that takes time.
            if (selected && world.pool.may_send(*selected, world.now)) {
                RC_ASSERT_FALSE(world.is_forbidden(*selected));
            }
            const auto choice = world.pool.choose({}, *rc::gen::inRange(0, 100) / 100.0, world.now);
            if (choice) {
                RC_ASSERT(world.pool.may_send(choice->target, world.now));
                RC_ASSERT_FALSE(world.is_forbidden(choice->target));
                selected = choice->target;
            }
        }
    });
}

} // namespace coriander
