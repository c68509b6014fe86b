#include "gateway/permit_exchange.hpp"

#include "support/event_loop.hpp"
#include "support/printers.hpp"

#include <catch2/catch.hpp>

#include <optional>

namespace coriander {
namespace {

constexpr std::uint64_t target = 7;
const rate_limit limit{target, 1000.0, {}};

/// Two daemons, of which `second` issues all permits. Messages arrive when `deliver` is called.
struct two_daemons {
    void deliver()
    {
        for (const auto& [to, message] : std::exchange(this->sent, {})) {
            (to == "first" ? this->first : this->second).receive(to == "first" ? "second" : "first", message);
        }
    }
    permit_exchange::sender sender()
    {
        return [this](const std::string& to, const permit_message& message) {
            this->sent.emplace_back(to, message);
        };
    }
    void request(permit_exchange& from)
    {
        this->decision.reset();
        from.request(limit, [this](permit_decision received) {
            ++this->calls;
            this->decision = received;
        });
    }
    /// Requests permits until one is granted.
    bool is_granted_eventually(permit_exchange& from)
    {
        return this->loop.run_until([&] {
            this->request(from);
            this->deliver();
            this->deliver();
            return this->decision && this->decision->is_granted;
        });
    }

    event_loop loop;
    std::vector<std::pair<std::string, permit_message>> sent;
    std::optional<permit_decision> decision;
    unsigned calls = 0;
    permit_exchange first{this->loop.context(),
                          [](std::uint64_t) { return std::optional{std::string{"second"}}; }, this->sender()};
    permit_exchange second{this->loop.context(), [](std::uint64_t) { return std::nullopt; }, this->sender()};
};

} // namespace

TEST_CASE("permit exchange: the issuer decides on requests of other daemons")
{
    two_daemons daemons;
    daemons.request(daemons.first);
    CHECK_FALSE(daemons.decision);
    daemons.deliver();
    daemons.deliver();
    REQUIRE(daemons.decision);
    CHECK(daemons.is_granted_eventually(daemons.first));
}

TEST_CASE("permit exchange: the issuer decides on its own requests without a message")
{
    two_daemons daemons;
    daemons.request(daemons.second);
    CHECK(daemons.decision);
    CHECK(daemons.sent.empty());
}

TEST_CASE("permit exchange: a request that is not answered counts as denied, and a late answer is ignored")
{
    two_daemons daemons;
    daemons.request(daemons.first);
    REQUIRE(daemons.loop.run_until([&] { return daemons.decision.has_value(); }));
    CHECK_FALSE(daemons.decision->is_granted);
    CHECK(daemons.decision->wait > time_ms{});
    daemons.deliver();
    daemons.deliver();
    CHECK(daemons.calls == 1);
}

} // namespace coriander
