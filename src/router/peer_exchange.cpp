#include "router/peer_exchange.hpp"

#include "runtime/log.hpp"

#include <set>

namespace coriander {
namespace {

constexpr auto gossip_interval = std::chrono::milliseconds{1000};
constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t strike_fanout = 16;
constexpr std::size_t strikes_per_message = 16;
constexpr time_ms demand_window = 6_s;

} // namespace

peer_exchange::peer_exchange(member_identity self, const std::string& address, std::uint16_t port,
                             std::vector<std::string> seeds, config_store& configs, service_routes& routes)
    : configs{configs}, routes{routes}, seeds{std::move(seeds)}, identity{std::move(self)},
      transport{address, port, [this](const peer_message& message) { this->on_message(message); }}
{
    this->identity.peer_address = address + ":" + std::to_string(this->transport.port());
}

peer_exchange::~peer_exchange()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->stop_requested.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void peer_exchange::start(const std::string& http_address)
{
    {
        const std::scoped_lock lock{this->mutex};
        this->identity.http_address = http_address;
        this->members = std::make_unique<membership>(this->identity);
    }
    this->thread = std::thread{[this] { this->gossip_loop(); }};
}

void peer_exchange::gossip_loop()
{
    std::unique_lock lock{this->mutex};
    while (!this->stop_requested.wait_for(lock, gossip_interval, [this] { return this->stopping; })) {
        lock.unlock();
        this->send_gossip();
        lock.lock();
    }
}

void peer_exchange::send_gossip()
{
    const auto now = this->clock.now();
    std::vector<member_identity> targets;
    peer_message message;
    {
        const std::scoped_lock lock{this->mutex};
        const auto number = this->configs.current()->record.number;
        this->members->advance_heartbeat(number, this->state.stopping, this->state.table_reachable);
        this->update_demand(now);
        targets = this->members->choose_targets(gossip_fanout, now, this->random);
        message = this->make_message(now);
    }
    if (targets.empty()) {
        for (const auto& seed : this->seeds) {
            this->transport.send(seed, message);
        }
    }
    this->send_to(targets, std::move(message));
}

peer_message peer_exchange::make_message(time_ms now)
{
    peer_message message;
    message.identities = this->members->identities_to_send();
    message.beats = this->members->heartbeats_to_send(now);
    for (const auto& [customer, rate] : this->gate.own_demand(now)) {
        message.demands.push_back({customer, static_cast<float>(rate)});
    }
    message.strikes = this->recent_strikes(now);
    return message;
}

std::vector<strike_report> peer_exchange::recent_strikes(time_ms now)
{
    std::vector<strike_report> strikes;
    for (const auto& route : this->routes.all()) {
        const std::scoped_lock lock{route->mutex};
        const auto recent = route->requests.strike_reports().recent(strikes_per_message, now);
        strikes.insert(strikes.end(), recent.begin(), recent.end());
    }
    return strikes;
}

/// Sends the message to each target, with this router's configuration for peers that use an older one.
void peer_exchange::send_to(const std::vector<member_identity>& targets, peer_message message)
{
    const auto now = this->clock.now();
    const auto current = this->configs.current();
    std::set<std::string> behind;
    for (const auto& member : this->alive()) {
        const bool is_recent = now - member.heard_at < demand_window;
        if (is_recent && member.heartbeat.config_number < current->record.number) {
            behind.insert(member.identity.name);
        }
    }
    for (const auto& target : targets) {
        message.config.reset();
        if (behind.contains(target.name)) {
            message.config = current->record;
        }
        this->transport.send(target.peer_address, message);
    }
}

void peer_exchange::on_message(const peer_message& message)
{
    const auto now = this->clock.now();
    if (message.beats.empty()) {
        return;
    }
    {
        const std::scoped_lock lock{this->mutex};
        if (!this->members) {
            return;
        }
        for (const auto& member : message.identities) {
            this->members->add_identity(member, now);
        }
        for (const auto& beat : message.beats) {
            this->members->merge_heartbeat(beat, now);
        }
        this->demands[message.beats.front().id] = {now, message.demands};
    }
    this->merge_strikes(message.strikes);
    if (message.config) {
        this->configs.adopt_if_newer(*message.config, "peer");
    }
}

void peer_exchange::merge_strikes(const std::vector<strike_report>& strikes)
{
    if (strikes.empty()) {
        return;
    }
    const auto now = this->clock.now();
    for (const auto& route : this->routes.all()) {
        const std::scoped_lock lock{route->mutex};
        for (const auto& strike : strikes) {
            route->requests.strike_reports().merge(strike, now);
        }
    }
}

void peer_exchange::update_demand(time_ms now)
{
    std::erase_if(this->demands,
                  [&](const auto& item) { return now - item.second.received_at > demand_window; });
    std::map<std::string, double> total;
    for (const auto& [id, demand] : this->demands) {
        for (const auto& customer : demand.customers) {
            total[customer.customer] += customer.requests_per_second;
        }
    }
    this->gate.set_demand_of_others(std::move(total), this->members->alive(now).size() + 1);
}

void peer_exchange::send_strikes_now()
{
    const auto now = this->clock.now();
    std::vector<member_identity> targets;
    peer_message message;
    {
        const std::scoped_lock lock{this->mutex};
        targets = this->members->choose_targets(strike_fanout, now, this->random);
        message = this->make_message(now);
    }
    this->send_to(targets, std::move(message));
}

void peer_exchange::set_state(const local_state& new_state)
{
    const std::scoped_lock lock{this->mutex};
    this->state = new_state;
}

void peer_exchange::add_member(const member_identity& member)
{
    const std::scoped_lock lock{this->mutex};
    this->members->add_identity(member, this->clock.now());
}

std::vector<member_view> peer_exchange::alive()
{
    const std::scoped_lock lock{this->mutex};
    return this->members->alive(this->clock.now());
}

std::size_t peer_exchange::known_peer_count()
{
    const std::scoped_lock lock{this->mutex};
    return this->members->known() - 1;
}

bool peer_exchange::is_owner_alive(const std::string& owner)
{
    const auto at = owner.rfind('@');
    if (at == std::string::npos) {
        return false;
    }
    const auto incarnation = std::strtoull(owner.c_str() + at + 1, nullptr, 10);
    const std::scoped_lock lock{this->mutex};
    return this->members->is_alive(owner.substr(0, at), incarnation, this->clock.now());
}

member_identity peer_exchange::self()
{
    const std::scoped_lock lock{this->mutex};
    return this->identity;
}

bool peer_exchange::try_pass(const customer_rule& customer)
{
    const std::scoped_lock lock{this->mutex};
    return this->gate.try_acquire(customer, this->clock.now());
}

time_ms peer_exchange::retry_after(const customer_rule& customer)
{
    const std::scoped_lock lock{this->mutex};
    return this->gate.retry_after(customer, this->clock.now());
}

} // namespace coriander
